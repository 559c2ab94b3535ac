#include "testing/ProcessUnderTest.h"

#include "base/Clock.h"
#include "testing/Application.h"

#include <QFile>
#include <QProcess>
#include <QProcessEnvironment>
#include <QTemporaryFile>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace coriandergate::testing {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 10 };
    constexpr std::chrono::milliseconds startTimeout { 5000 };
    constexpr std::chrono::milliseconds endTimeout { 3000 };
    constexpr int signalExitBase = 128;

}

struct ProcessUnderTest::State {
    QProcess process;
    QTemporaryFile output;
    QString program;
    QStringList arguments;
};

auto toolPath(std::string_view folder, std::string_view name) -> std::string
{
    return std::string(folder) + "/" + std::string(name);
}

ProcessUnderTest::ProcessUnderTest(std::string program, std::vector<std::string> arguments, Environment environment)
{
    ensureApplication();
    m_state = std::make_unique<State>();
    m_state->program = QString::fromStdString(program);
    for (const auto& argument : arguments)
        m_state->arguments << QString::fromStdString(argument);
    auto variables = QProcessEnvironment::systemEnvironment();
    for (const auto& [name, value] : environment)
        variables.insert(QString::fromStdString(name), QString::fromStdString(value));
    m_state->process.setProcessEnvironment(variables);
    m_state->process.setProcessChannelMode(QProcess::MergedChannels);
}

ProcessUnderTest::~ProcessUnderTest()
{
    if (!isRunning())
        return;
    resume();
    kill();
    m_state->process.waitForFinished(static_cast<int>(endTimeout.count()));
}

auto ProcessUnderTest::start(Error& reason) -> bool
{
    if (!m_state->output.open()) {
        reason = { "start process", m_state->program.toStdString(), "no temporary file for its output" };
        return false;
    }
    m_state->process.setStandardOutputFile(m_state->output.fileName(), QIODevice::Append);
    m_state->process.start(m_state->program, m_state->arguments);
    if (m_state->process.waitForStarted(static_cast<int>(startTimeout.count())))
        return true;
    reason = { "start process", m_state->program.toStdString(), m_state->process.errorString().toStdString() };
    return false;
}

auto ProcessUnderTest::waitForLine(std::string_view text, std::chrono::milliseconds timeout)
    -> std::optional<std::string>
{
    const auto deadline = monotonicNow() + timeout;
    while (true) {
        const auto mayPrintMore = isRunning() && monotonicNow() < deadline;
        if (auto line = findLine(text, 0))
            return line;
        if (!mayPrintMore)
            return std::nullopt;
        m_state->process.waitForFinished(static_cast<int>(pollInterval.count()));
    }
}

auto ProcessUnderTest::command(std::string_view line, std::chrono::milliseconds timeout) -> std::optional<std::string>
{
    const auto from = output().size();
    m_state->process.write(QByteArray(line.data(), static_cast<qsizetype>(line.size())) + '\n');
    m_state->process.waitForBytesWritten(static_cast<int>(timeout.count()));
    const auto deadline = monotonicNow() + timeout;
    while (isRunning() && monotonicNow() < deadline) {
        for (const auto* const word : { "ok", "error" }) {
            if (auto answer = findLine(word, from))
                return answer;
        }
        m_state->process.waitForFinished(static_cast<int>(pollInterval.count()));
    }
    return std::nullopt;
}

auto ProcessUnderTest::terminate() -> void { sendSignal(SIGTERM); }

auto ProcessUnderTest::kill() -> void { sendSignal(SIGKILL); }

auto ProcessUnderTest::pause() -> void { sendSignal(SIGSTOP); }

auto ProcessUnderTest::resume() -> void { sendSignal(SIGCONT); }

auto ProcessUnderTest::hangUp() -> void { sendSignal(SIGHUP); }

auto ProcessUnderTest::waitForExit(std::chrono::milliseconds timeout) -> std::optional<int>
{
    if (isRunning() && !m_state->process.waitForFinished(static_cast<int>(timeout.count())))
        return std::nullopt;
    const auto isSignalled = m_state->process.exitStatus() == QProcess::CrashExit;
    return isSignalled ? signalExitBase + m_state->process.exitCode() : m_state->process.exitCode();
}

auto ProcessUnderTest::isRunning() -> bool { return m_state->process.state() != QProcess::NotRunning; }

auto ProcessUnderTest::output() const -> std::string
{
    QFile file(m_state->output.fileName());
    if (!file.open(QIODevice::ReadOnly))
        return {};
    return file.readAll().toStdString();
}

auto ProcessUnderTest::peakMemoryBytes() const -> std::size_t
{
    constexpr std::string_view field = "VmHWM:";
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_state->process.processId()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::strtoull(line.c_str() + field.size(), nullptr, 10) * bytesPerKilobyte;
    }
    return 0;
}

auto ProcessUnderTest::openDescriptors() const -> std::size_t
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(m_state->process.processId()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

auto ProcessUnderTest::sendSignal(int number) -> void
{
    // The number belongs to this object's own child until QProcess has reaped it, so it can't name another process.
    const auto processNumber = m_state->process.processId();
    if (isRunning() && processNumber > 0)
        ::kill(static_cast<pid_t>(processNumber), number);
}

auto ProcessUnderTest::findLine(std::string_view text, std::size_t from) const -> std::optional<std::string>
{
    const auto printed = output();
    auto begin = from;
    for (auto end = printed.find('\n', begin); end != std::string::npos; end = printed.find('\n', begin)) {
        auto line = printed.substr(begin, end - begin);
        if (line.find(text) != std::string::npos)
            return line;
        begin = end + 1;
    }
    return std::nullopt;
}

} // namespace coriandergate::testing
