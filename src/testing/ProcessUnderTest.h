// Runs one of the built tools for the length of a test, signals it, and reads what it prints.
//
// Output goes to a temporary file, so a process that prints much never blocks on a full pipe. Each wait is bounded, and
// the destructor ends the process, also a stopped one. Signals go to the process's own number only.
//
//   ProcessUnderTest target(toolPath(CORIANDERGATE_TOOLS, "coriandergate-target-stand-in"), { "--port=0" });
//   Error reason;
//   REQUIRE(target.start(reason));
//   REQUIRE(target.waitForLine("listening on", std::chrono::seconds(5)));
//   target.terminate();
//   REQUIRE(target.waitForExit(std::chrono::seconds(5)) == 0);
#pragma once

#include "base/Error.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coriandergate::testing {

// toolPath() is the path of the built tool `name` in `folder`.
[[nodiscard]] auto toolPath(std::string_view folder, std::string_view name) -> std::string;

// ProcessUnderTest belongs to the thread that made it.
class ProcessUnderTest {
public:
    using Environment = std::vector<std::pair<std::string, std::string>>;

    // ProcessUnderTest() names the program; nothing runs before start(). `environment` is added to the test's own.
    explicit ProcessUnderTest(
        std::string program, std::vector<std::string> arguments = {}, Environment environment = {});
    ~ProcessUnderTest();

    ProcessUnderTest(const ProcessUnderTest&) = delete;
    auto operator=(const ProcessUnderTest&) -> ProcessUnderTest& = delete;

    // start() starts the program; false with a reason when it can't be started.
    [[nodiscard]] auto start(Error& reason) -> bool;

    // waitForLine() is the first whole line printed so far that contains `text`; nothing when the process ends or
    // `timeout` passes without one.
    [[nodiscard]] auto waitForLine(std::string_view text, std::chrono::milliseconds timeout)
        -> std::optional<std::string>;

    // command() writes `line` to the process's standard input and waits for the next line with "ok" or "error" in it.
    [[nodiscard]] auto command(std::string_view line, std::chrono::milliseconds timeout) -> std::optional<std::string>;

    // terminate(), kill(), pause(), resume() and hangUp() send SIGTERM, SIGKILL, SIGSTOP, SIGCONT and SIGHUP.
    auto terminate() -> void;
    auto kill() -> void;
    auto pause() -> void;
    auto resume() -> void;
    auto hangUp() -> void;

    // waitForExit() is the exit code, or 128 plus the number of the signal that ended the process; nothing when it
    // still runs after `timeout`.
    [[nodiscard]] auto waitForExit(std::chrono::milliseconds timeout) -> std::optional<int>;

    // isRunning() says whether the process has been started and hasn't ended.
    [[nodiscard]] auto isRunning() -> bool;

    // peakMemoryBytes() is the most memory that the process has held so far; 0 when it doesn't run.
    [[nodiscard]] auto peakMemoryBytes() const -> std::size_t;

    // openDescriptors() is the number of file descriptors that the process holds; 0 when it doesn't run.
    [[nodiscard]] auto openDescriptors() const -> std::size_t;

    // output() is all that the process has printed, both channels merged.
    [[nodiscard]] auto output() const -> std::string;

private:
    struct State;

    auto sendSignal(int number) -> void;
    [[nodiscard]] auto findLine(std::string_view text, std::size_t from) const -> std::optional<std::string>;

    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::testing
