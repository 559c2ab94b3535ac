#include "http/WorkerPool.h"

#include <QMetaObject>
#include <QObject>
#include <QThread>
#include <QTimer>

namespace coriandergate::http {

WorkerPool::WorkerPool(const Options& options)
{
    for (std::size_t i = 0; i < options.threads; ++i) {
        Worker worker { std::make_unique<QThread>(), std::make_unique<QObject>() };
        worker.thread->setObjectName(QString("worker-%1").arg(i));
        worker.context->moveToThread(worker.thread.get());
        worker.thread->start();
        m_workers.push_back(std::move(worker));
    }
}

WorkerPool::~WorkerPool()
{
    for (auto& worker : m_workers) {
        worker.thread->quit();
        worker.thread->wait();
    }
}

auto WorkerPool::post(std::size_t index, std::function<void()> task) -> void
{
    QMetaObject::invokeMethod(m_workers.at(index).context.get(), std::move(task), Qt::QueuedConnection);
}

auto WorkerPool::postAfter(std::size_t index, std::chrono::milliseconds delay, std::function<void()> task) -> void
{
    auto* context = m_workers.at(index).context.get();
    post(index, [context, delay, task = std::move(task)] { QTimer::singleShot(delay, context, task); });
}

auto WorkerPool::runAndWait(std::size_t index, std::function<void()> task) -> void
{
    QMetaObject::invokeMethod(m_workers.at(index).context.get(), std::move(task), Qt::BlockingQueuedConnection);
}

auto WorkerPool::current() const -> std::size_t
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i].thread.get() == QThread::currentThread())
            return i;
    }
    return m_workers.size();
}

} // namespace coriandergate::http
