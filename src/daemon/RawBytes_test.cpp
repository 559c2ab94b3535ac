// Raw bytes against a real daemon: damaged, cut and mixed requests on many connections at once.
#include "base/Hash.h"
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "http/AnswerParser.h"
#include "testing/Application.h"
#include "testing/SimpleCall.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace coriandergate;
using namespace coriandergate::testing;

namespace {

constexpr int caseCount = 10000;
constexpr std::size_t connectionsAtOnce = 64;
constexpr std::uint64_t seed = 17;
constexpr std::uint64_t firstWord = 1'000'000'000'000'000'000;
constexpr std::size_t wordLength = 19;

// One damaged request with a word of its own in the body, and what came back.
struct RawCase {
    std::string word;
    std::string sent;
    bool isDamaged = false;
    QTcpSocket socket;
    std::string received;
    bool isOver = false;
};

auto makeBytes(const std::string& word, bool isDamaged, std::mt19937_64& random) -> std::string
{
    std::string bytes = "POST /" + word + " HTTP/1.1\r\nHost: x\r\nX-Api-Key: demo-key\r\nConnection: close\r\n";
    if (random() % 2 == 0)
        bytes += "Content-Length: " + std::to_string(word.size()) + "\r\n\r\n" + word;
    else
        bytes += "Transfer-Encoding: chunked\r\n\r\n13\r\n" + word + "\r\n0\r\n\r\n";
    if (!isDamaged)
        return bytes;
    const auto at = random() % bytes.size();
    switch (random() % 4) {
    case 0:
        bytes[at] = static_cast<char>(random());
        break;
    case 1:
        bytes.erase(at);
        break;
    case 2:
        bytes.insert(at, "\r\nContent-Length: 1\r\n");
        break;
    default:
        bytes.erase(at, 1 + random() % 5);
    }
    return bytes;
}

auto startCase(RawCase& item, const DaemonUnderTest& daemon, bool leavesEarly) -> void
{
    auto& socket = item.socket;
    QObject::connect(&socket, &QTcpSocket::connected, &socket, [&item, leavesEarly] {
        item.socket.write(item.sent.data(), static_cast<qint64>(item.sent.size()));
        if (leavesEarly) {
            item.socket.flush();
            item.socket.abort();
        }
    });
    QObject::connect(
        &socket, &QTcpSocket::readyRead, &socket, [&item] { item.received += item.socket.readAll().toStdString(); });
    QObject::connect(&socket, &QTcpSocket::disconnected, &socket, [&item] { item.isOver = true; });
    QObject::connect(&socket, &QTcpSocket::errorOccurred, &socket, [&item] { item.isOver = true; });
    const auto& address = daemon.callers();
    socket.connectToHost(
        QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(std::stoi(address.substr(address.rfind(':') + 1))));
}

// The answers that came must be whole, and none may be another caller's.
auto checkCase(const RawCase& item) -> void
{
    std::string rest = item.received;
    while (!rest.empty()) {
        http::AnswerParser parser({});
        rest.erase(0, parser.feed(rest));
        REQUIRE(parser.progress() == http::ParseProgress::Complete);
        const auto answer = parser.takeAnswer();
        INFO(item.sent << " answered by " << answer.status << " " << answer.body);
        CHECK(((answer.status >= 400 && answer.status < 600) || item.sent.find(answer.body) != std::string::npos));
        if (!item.isDamaged)
            CHECK(answer.body == item.word);
    }
    if (!item.isDamaged)
        CHECK_FALSE(item.received.empty());
}

} // namespace

TEST_CASE("10,000 raw byte strings crash nothing, mix up nothing and run nothing twice")
{
    DaemonUnderTest daemon({ "--header-timeout-ms=100", "--body-timeout-ms=100", "--idle-timeout-ms=100",
        "--declaration=" + std::string(CORIANDERGATE_SOURCE) + "/src/fixture/wide.yaml" });
    TargetUnderTest target(daemon, { "--service=wide", "--slots=64" });
    ensureApplication();
    std::mt19937_64 random(seed);
    std::vector<std::unique_ptr<RawCase>> open;
    std::set<std::string> wholeWords;
    for (int started = 0; started < caseCount || !open.empty();) {
        while (started < caseCount && open.size() < connectionsAtOnce) {
            auto item = std::make_unique<RawCase>();
            // Far from each other, so that no damage turns one into another.
            item->word = std::to_string(firstWord + hashOf("word", static_cast<std::uint64_t>(started++)) % firstWord);
            item->isDamaged = random() % 4 != 0;
            const bool leavesEarly = item->isDamaged && random() % 8 == 0;
            if (!item->isDamaged)
                wholeWords.insert("/" + item->word);
            item->sent = makeBytes(item->word, item->isDamaged, random);
            startCase(*item, daemon, leavesEarly);
            open.push_back(std::move(item));
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        std::erase_if(open, [](const auto& item) {
            if (item->isOver)
                checkCase(*item);
            return item->isOver;
        });
    }
    REQUIRE(daemon.process().isRunning());
    std::map<std::string, int> runs;
    const auto seen = target.seen();
    for (const auto& request : seen["requests"])
        ++runs[request["path"].get<std::string>()];
    for (const auto& word : wholeWords)
        CHECK(runs[word] == 1);
    for (const auto& [path, count] : runs)
        CHECK((path.size() < wordLength + 1 || count == 1));
}
