// A mutex and a scoped lock that carry clang's thread-safety annotations, and the macros for them.
//
// Name the lock at every field it guards, and the compiler finds each access without it:
//
//   Mutex m_mutex;
//   std::map<std::string, int> m_counts GUARDED_BY(m_mutex);
//
//   auto increment(const std::string& name) -> void
//   {
//       const MutexLock lock(m_mutex);
//       ++m_counts[name];
//   }
//
// A helper that expects the lock to be held ends in Locked and is marked. With a trailing return type the mark stands
// before `auto`, since clang takes one that stands behind for a part of the type:
//
//   REQUIRES(m_mutex) auto countLocked() const -> int;
#pragma once

#include <mutex>

#if defined(__clang__)
#define CORIANDERGATE_ANNOTATION(x) __attribute__((x))
#else
#define CORIANDERGATE_ANNOTATION(x)
#endif

#define CAPABILITY(x) CORIANDERGATE_ANNOTATION(capability(x))
#define SCOPED_CAPABILITY CORIANDERGATE_ANNOTATION(scoped_lockable)
#define GUARDED_BY(x) CORIANDERGATE_ANNOTATION(guarded_by(x))
#define REQUIRES(...) CORIANDERGATE_ANNOTATION(requires_capability(__VA_ARGS__))
#define EXCLUDES(...) CORIANDERGATE_ANNOTATION(locks_excluded(__VA_ARGS__))
#define ACQUIRE(...) CORIANDERGATE_ANNOTATION(acquire_capability(__VA_ARGS__))
#define RELEASE(...) CORIANDERGATE_ANNOTATION(release_capability(__VA_ARGS__))

namespace coriandergate {

// Mutex is std::mutex, known to the thread-safety analysis.
class CAPABILITY("mutex") Mutex {
public:
    // lock() blocks until the calling thread holds the mutex.
    ACQUIRE() auto lock() -> void { m_mutex.lock(); }

    // unlock() gives the mutex up; the calling thread must hold it.
    RELEASE() auto unlock() -> void { m_mutex.unlock(); }

private:
    std::mutex m_mutex;
};

// MutexLock holds a Mutex for the length of a scope.
class SCOPED_CAPABILITY MutexLock {
public:
    explicit MutexLock(Mutex& mutex) ACQUIRE(mutex)
        : m_mutex(mutex)
    {
        m_mutex.lock();
    }

    ~MutexLock() RELEASE() { m_mutex.unlock(); }

    MutexLock(const MutexLock&) = delete;
    auto operator=(const MutexLock&) -> MutexLock& = delete;

private:
    Mutex& m_mutex;
};

} // namespace coriandergate
