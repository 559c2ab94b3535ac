// The command coriandergate-trace on log files: plain, compressed, cut off, odd, and missing.
#include "testing/ProcessUnderTest.h"

#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <zlib.h>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

class TraceTool {
public:
    auto write(const std::string& name, const std::string& text) -> std::string
    {
        auto path = m_folder.filePath(QString::fromStdString(name)).toStdString();
        std::ofstream(path, std::ios::binary) << text;
        return path;
    }

    auto writeCompressed(const std::string& name, const std::string& text) -> std::string
    {
        auto path = m_folder.filePath(QString::fromStdString(name)).toStdString();
        auto* const file = ::gzopen(path.c_str(), "wb");
        REQUIRE(::gzwrite(file, text.data(), static_cast<unsigned>(text.size())) == static_cast<int>(text.size()));
        REQUIRE(::gzclose(file) == Z_OK);
        return path;
    }

    // run() returns the exit status and sets `output` to what the command printed.
    auto run(const std::vector<std::string>& arguments) -> int
    {
        ProcessUnderTest process(toolPath(CORIANDERGATE_TOOLS, "coriandergate-trace"), arguments);
        Error reason;
        REQUIRE(process.start(reason));
        const auto status = process.waitForExit(30s);
        REQUIRE(status);
        output = process.output();
        return *status;
    }

    std::string output;

private:
    QTemporaryDir m_folder;
};

auto endLine(int second, const std::string& id, const std::string& why) -> std::string
{
    return "time=" + std::to_string(second) + ".5 level=info event=CG1900 text=\"caller answered\" request=" + id
        + " status=" + (why == "answered" ? "200" : "503") + " why=\"" + why
        + "\" ms=10 route=r service=s account=a runs=1 rejections=0\n";
}

auto someLines(int count) -> std::string
{
    std::string text;
    for (int i = 0; i < count; ++i)
        text += endLine(i, "id" + std::to_string(i), i % 2 == 0 ? "answered" : "no slot in time");
    return text;
}

auto readText(const std::string& path) -> std::string
{
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("coriandergate-trace sums up plain and compressed logs alike")
{
    TraceTool tool;
    const auto text = someLines(20'000); // several of the reader's chunks
    for (const auto& path : { tool.write("plain", text), tool.writeCompressed("packed", text) }) {
        REQUIRE(tool.run({ "--summary", "--json", path }) == 0);
        const auto summary = nlohmann::json::parse(tool.output);
        CHECK(summary["lines"]["all"] == 20'000);
        CHECK(summary["lines"]["counted"] == 20'000);
        CHECK(summary["requests"]["answered"] == 10'000);
        CHECK(summary["accounts"]["rows"][0]["refused"]["no slot in time"] == 10'000);
    }
    REQUIRE(tool.run({ "--summary", tool.write("one", text), tool.writeCompressed("two", text) }) == 0);
    CHECK(tool.output.find("40000 lines: 40000 counted") != std::string::npos);
}

TEST_CASE("coriandergate-trace sums up a span of time and a number of rows")
{
    TraceTool tool;
    const auto path = tool.write("log", someLines(100));
    REQUIRE(tool.run({ "--summary", "--json", "--from=10", "--to=20.5", "--top=1", path }) == 0);
    const auto summary = nlohmann::json::parse(tool.output);
    CHECK(summary["lines"]["counted"] == 10);
    CHECK(summary["lines"]["outsideSpan"] == 90);
    CHECK(summary["from"] == 10.5);
    CHECK(summary["to"] == 19.5);
    CHECK(summary["intervals"]["rows"].size() == 10);
}

TEST_CASE("coriandergate-trace goes on after lines that it can't read and after logs that are missing or cut off")
{
    TraceTool tool;
    const auto odd = tool.write("odd",
        "junk\n" + std::string(1'000'000, 'x') + "\n" + endLine(1, "a", "answered") + "\r\n"
            + endLine(2, "b", "answered").substr(0, 60) + "\n" + std::string(70'000, 'y'));
    REQUIRE(tool.run({ "--summary", "--json", odd }) == 0);
    auto lines = nlohmann::json::parse(tool.output)["lines"];
    CHECK(lines["counted"] == 1);
    CHECK(lines["unreadable"] == 5); // among them the empty line before the carriage return's line break
    const auto packed = readText(tool.writeCompressed("packed", someLines(20'000)));
    const auto cut = tool.write("cut", packed.substr(0, packed.size() / 2));
    CHECK(tool.run({ "--summary", cut, odd }) == 2);
    CHECK(tool.output.find("read log") != std::string::npos);
    CHECK(tool.output.find(" counted") != std::string::npos);
    CHECK(tool.run({ "--summary", "/nowhere/log", odd }) == 2);
    CHECK(tool.output.find("open log") != std::string::npos);
    CHECK(tool.output.find("/nowhere/log") != std::string::npos);
    CHECK(tool.output.find("1 counted") != std::string::npos);
    CHECK(tool.run({ "--summary", tool.write("empty", "") }) == 1);
}

TEST_CASE("coriandergate-trace refuses odd values of its options")
{
    TraceTool tool;
    const auto path = tool.write("log", someLines(2));
    for (const auto* option : { "--from=soon", "--to=1e400", "--from=nan", "--top=0", "--top=1001", "--top=2.5",
             "--top=x", "--from=", "--to=1x" }) {
        CAPTURE(option);
        CHECK(tool.run({ "--summary", option, path }) == 2);
        CHECK(tool.output.find("--") != std::string::npos);
    }
    CHECK(tool.run({ "--summary", "--from=2", "--to=1", path }) == 2);
}

TEST_CASE("coriandergate-trace follows one request through plain and compressed logs")
{
    TraceTool tool;
    const auto first = tool.write("one", someLines(4));
    const auto second = tool.writeCompressed("two", endLine(0, "id2.1", "no slot in time"));
    REQUIRE(tool.run({ "id2", first, second }) == 0);
    CHECK(tool.output.find("+0.000 s " + second) == 0);
    CHECK(tool.output.find("+2.000 s " + first) != std::string::npos);
    CHECK(tool.run({ "id9", first, second }) == 1);
    CHECK(tool.run({ "id2", "/nowhere/log" }) == 2);
}
