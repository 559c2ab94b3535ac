#include "log/LogSummary.h"

#include "log/Event.h"
#include "log/LogSummaryFormat.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace coriandergate::log {

using namespace std::chrono_literals;

namespace {

    // A line of event CG1900 as daemons write it.
    auto endLine(const std::string& time, const std::string& id, const std::string& status, const std::string& why,
        const std::string& more = "route=r service=s account=a runs=1 rejections=0", int ms = 10) -> std::string
    {
        return "time=" + time + " level=info event=CG1900 text=\"caller answered\" request=" + id + " status=" + status
            + " why=\"" + why + "\" ms=" + std::to_string(ms) + " " + more + " version=7 proof-age-ms=4";
    }

    auto runLine(const std::string& time, const std::string& id, const std::string& outcome, int status) -> std::string
    {
        return "time=" + time + " level=info event=CG1911 text=\"run ended\" request=" + id
            + " target=i-1/170 connection=used outcome=" + outcome + " status=" + std::to_string(status)
            + " why=\"\" load=1,0,4 ms=5";
    }

    auto refusalLine(const std::string& time, const std::string& why) -> std::string
    {
        return "time=" + time + " level=info event=CG1910 text=\"slot refused\" request=q why=\"" + why
            + "\" load=4,2,4 arrivals=9";
    }

    auto count(const ReasonCounts& counts, const std::string& reason) -> std::uint64_t
    {
        for (const auto& row : counts.sorted()) {
            if (row.reason == reason)
                return row.count;
        }
        return 0;
    }

} // namespace

TEST_CASE("a summary counts how requests ended, of what, and how long they took")
{
    LogSummary summary({});
    summary.add("h-1", endLine("10.0", "a1", "200", "answered"));
    summary.add("h-1", endLine("10.1", "a2", "404", "answered"));
    summary.add(
        "h-1", endLine("10.2", "a3", "503", "no slot in time", "route=r service=s account=a runs=3 rejections=3", 40));
    summary.add(
        "h-1", endLine("10.3", "a4", "429", "over the rate", "route=r service=\"\" account=b runs=0 rejections=0", 2));
    summary.add("h-2", endLine("10.4", "a5", "502", "the target ended the connection"));
    summary.add("h-2", endLine("10.5", "a6", "504", "no answer in time"));
    summary.add("h-2", endLine("10.6", "a7", "503", "the target's failure"));
    summary.add("h-2",
        "time=11.7 level=info event=CG1900 text=\"caller answered\" request=a8 status=none "
        "why=\"caller left\" ms=900");
    const auto& all = summary.requests();
    CHECK(all.requests == 8);
    CHECK(all.answered == 2);
    CHECK(all.refused.total() == 2);
    CHECK(count(all.refused, "no slot in time") == 1);
    CHECK(count(all.refused, "over the rate") == 1);
    CHECK(all.failed.total() == 3);
    CHECK(count(all.failed, "the target ended the connection") == 1);
    CHECK(count(all.failed, "no answer in time") == 1);
    CHECK(count(all.failed, "the target's failure") == 1);
    CHECK(all.callerLeft == 1);
    CHECK(all.lost() == 6);
    CHECK(all.attempts == 8);
    CHECK(all.rejections == 3);
    CHECK(all.times.mean() == 124ms); // (5 * 10 + 40 + 2 + 900) / 8
    CHECK(all.refusalTimes.count() == 2);
    CHECK(all.refusalTimes.quantile(1) == 40ms);
    CHECK(summary.calls().requests == 0);
    CHECK(summary.first() == 10'000ms);
    CHECK(summary.last() == 11'700ms);
    REQUIRE(summary.intervals().rows().size() == 2);
    CHECK(summary.intervals().rows().at(10).requests == 7);
    CHECK(summary.intervals().rows().at(11).callerLeft == 1);
    const auto accounts = summary.accounts().sorted();
    REQUIRE(accounts.size() == 3);
    CHECK(accounts[0].name == "a"); // lost the most
    CHECK(accounts[0].value->lost() == 4);
    CHECK(accounts[1].value->lost() == 1);
    CHECK(summary.services().sorted().front().name == "s");
    CHECK(summary.routes().sorted().front().value->requests == 7);
    CHECK(summary.lines().counted == 8);
}

TEST_CASE("a summary counts what reached each target and why slots were refused")
{
    LogSummary summary({});
    summary.add("log", "1.0 h-1 " + runLine("1", "a1", "answered", 200));
    summary.add("log", "1.0 h-1 " + runLine("1", "a2", "answered", 500));
    summary.add("log", "1.0 h-1 " + runLine("1", "a3", "not-run", 503));
    summary.add("log", "1.0 h-1 " + runLine("1", "a4", "may-have-run", 502));
    summary.add("log", "1.0 h-1 " + runLine("1", "a5", "not-sent", 503));
    summary.add("log", "1.0 h-1 " + runLine("1", "a6", "cancelled", 0));
    summary.add("log", "1.0 h-2 " + runLine("1", "a7", "connection-lost", 502));
    summary.add("log", "1.0 h-2 " + refusalLine("1", "no slot in time"));
    summary.add("log", "1.0 h-2 " + refusalLine("1", "target fails"));
    summary.add("log", "1.0 h-2 " + refusalLine("1", "target fails"));
    CHECK(summary.arrivals() == 6);
    const auto targets = summary.targets().sorted();
    REQUIRE(targets.size() == 2);
    CHECK(targets[0].name == "h-1");
    CHECK(targets[0].value->arrivals == 5);
    CHECK(targets[0].value->rejections == 1);
    CHECK(targets[0].value->failures == 2);
    CHECK(targets[0].value->cancelled == 1);
    CHECK(targets[0].value->slotRefusals == 0);
    CHECK(targets[1].value->arrivals == 1);
    CHECK(targets[1].value->failures == 1);
    CHECK(targets[1].value->slotRefusals == 3);
    CHECK(count(summary.slotRefusals(), "target fails") == 2);
    CHECK(count(summary.slotRefusals(), "no slot in time") == 1);
    CHECK(count(summary.runs(), "answered with status 500") == 1);
    CHECK(count(summary.runs(), "not-sent") == 1);
}

TEST_CASE("a summary counts attempts by step and outcome, without the peers that errors name")
{
    LogSummary summary({});
    const std::string head = "time=1 level=info event=CG1901 text=\"attempt ended\" request=a peer=1.2.3.4:5 ";
    summary.add("h", head + "step=run outcome=connection-lost why=\"read (1.2.3.4:5): reset\"");
    summary.add("h", head + "step=run outcome=connection-lost why=\"read (1.2.3.6:5): reset\"");
    summary.add("h", head + "step=\"ask for rate\" outcome=not-run why=\"over the rate\" account=a rate=4");
    CHECK(count(summary.attempts(), "run: connection-lost") == 2);
    CHECK(count(summary.attempts(), "ask for rate: not-run, over the rate") == 1);
}

TEST_CASE("calls are joined to the runs that failed after them, in whatever order the lines come")
{
    std::vector<std::string> lines {
        endLine("10.0", "a.1", "503", "no slot in time"), // its run fails, and its caller gets no response
        runLine("10.5", "a", "answered", 500),
        endLine("10.6", "a", "502", "no target left after one may have run it"),
        endLine("11.0", "b.1", "200", "answered"), // its run fails without a lost call
        runLine("11.5", "b", "answered", 500),
        endLine("11.6", "b", "500", "the target's failure"),
        endLine("12.0", "c.1", "504", "no answer in time"), // its run is sound all the same
        endLine("12.1", "c.2", "503", "no slot in time"),
        runLine("12.5", "c", "answered", 200),
        endLine("12.6", "c", "200", "answered"),
        runLine("13.0", "d", "answered", 500), // its run failed before
        endLine("13.5", "d.1", "503", "no slot in time"),
        endLine("13.6", "d", "200", "answered"),
    };
    std::mt19937 random(1);
    for (int round = 0; round < 50; ++round) {
        LogSummary summary({});
        for (const auto& line : lines)
            summary.add("h", line);
        CHECK(summary.calls().requests == 5);
        CHECK(summary.calls().refused.total() == 3);
        CHECK(summary.calls().failed.total() == 1);
        CHECK(summary.requests().requests == 4);
        CHECK(summary.requests().failed.total() == 2);
        CHECK(summary.joins().toRuns.joined() == 1);
        CHECK(summary.joins().toRequests.joined() == 1);
        CHECK(summary.joins().toRuns.forgotten() == 0);
        CHECK(summary.first() == 10s);
        CHECK(summary.last() == 13'600ms);
        std::shuffle(lines.begin(), lines.end(), random);
    }
}

// Guards against a daemon's event that was given another number.
TEST_CASE("the events that are summed up have the numbers that daemons give them")
{
    std::map<int, std::string> texts;
    for (const auto& event : eventCatalogue())
        texts[event.number] = event.text;
    CHECK(texts[1900] == "caller answered");
    CHECK(texts[1901] == "attempt ended");
    CHECK(texts[1910] == "slot refused");
    CHECK(texts[1911] == "run ended");
}

TEST_CASE("lines that can't be read are counted, as are others, those outside the span and those that daemons dropped")
{
    LogSummary summary({ .from = 5s, .to = 6s });
    summary.add("h", endLine("4.999", "a", "200", "answered"));
    summary.add("h", endLine("5", "b", "200", "answered"));
    summary.add("h", endLine("5.999", "c", "200", "answered"));
    summary.add("h", endLine("6", "d", "200", "answered"));
    summary.add("h", "time=5.5 level=info event=CG1923 text=x version=7");
    summary.add("h", "level=warning text=\"log lines dropped\" count=41");
    summary.add("h", "seen: 275 requests took more than half of their time");
    summary.add("h", "");
    summary.add("h", std::string("\0\xff time=\n", 9));
    summary.add("h", endLine("5.5", "e", "200", "answered").substr(0, 60)); // the daemon died while it wrote
    summary.addUnreadable();
    const auto& lines = summary.lines();
    CHECK(lines.all == 11);
    CHECK(lines.counted == 2);
    CHECK(lines.outsideSpan == 2);
    CHECK(lines.ofOtherEvents == 2);
    CHECK(lines.unreadable == 5);
    CHECK(lines.droppedByDaemons == 41);
    CHECK(summary.requests().answered == 2);
}

TEST_CASE("a summary of a million different ids, accounts, targets and times stays bounded and its sums exact")
{
    constexpr std::uint64_t lines = 1'000'000;
    LogSummary summary({});
    for (std::uint64_t i = 0; i < lines; ++i) {
        const auto name = std::to_string(i);
        const bool isGood = i % 4 != 0;
        summary.add("h" + name,
            endLine(name, name + (i % 2 == 0 ? "" : ".1"), isGood ? "200" : "503", isGood ? "answered" : "why " + name,
                "route=r" + name + " service=s" + name + " account=a" + name + " runs=1 rejections=0"));
        if (i % 8 == 0)
            summary.add("h" + name, runLine(name, name, "may-have-run", 502));
    }
    CHECK(summary.routes().size() <= 2 * LogSummary::s_maximumNames);
    CHECK(summary.services().size() <= 2 * LogSummary::s_maximumNames);
    CHECK(summary.accounts().size() <= 2 * LogSummary::s_maximumNames);
    CHECK(summary.targets().size() <= 2 * LogSummary::s_maximumNames);
    CHECK(summary.intervals().rows().size() <= LogSummary::s_maximumIntervals);
    CHECK(summary.joins().toRuns.size() <= LogSummary::s_rememberedIds);
    CHECK(summary.joins().toRequests.size() <= LogSummary::s_rememberedIds);
    CHECK(summary.requests().refused.sorted().size() <= 49);
    CHECK(summary.requests().requests == lines / 2);
    CHECK(summary.calls().requests == lines / 2);
    CHECK(summary.requests().refused.total() == lines / 4);
    CHECK(summary.arrivals() == lines / 8);
    auto inAccounts = summary.accounts().rest().requests;
    for (const auto& row : summary.accounts().sorted())
        inAccounts += row.value->requests;
    CHECK(inAccounts == lines / 2);
    std::uint64_t inIntervals = 0;
    for (const auto& [number, totals] : summary.intervals().rows())
        inIntervals += totals.requests;
    CHECK(inIntervals == lines / 2);
}

TEST_CASE("an account that loses much is kept beside many that lose little")
{
    LogSummary summary({});
    for (int i = 0; i < 20'000; ++i) {
        summary.add(
            "h", endLine("1", "x", "503", "no slot in time", "route=r service=s account=big runs=0 rejections=0"));
        const auto other = "account=a" + std::to_string(i);
        summary.add("h", endLine("1", "x", "200", "answered", "route=r service=s " + other + " runs=1 rejections=0"));
    }
    const auto accounts = summary.accounts().sorted();
    CHECK(accounts.front().name == "big");
    CHECK(accounts.front().value->lost() == 20'000);
    const auto text = summaryText(summary, 2);
    CHECK(text.find("(19999 more)") != std::string::npos);
}

TEST_CASE("a summary is written as text and as JSON with the rest of each table summed")
{
    LogSummary summary({});
    for (const auto* account : { "a", "b", "c" }) {
        const auto more = std::string("route=r service=s runs=0 rejections=0 account=") + account;
        summary.add("h", endLine("7.5", "x", "503", "no slot in time", more));
        summary.add("h", endLine("7.5", "x", "200", "answered", more));
    }
    summary.add("h", endLine("7.6", "x", "429", "over the rate", "route=r service=s runs=0 rejections=0 account=b"));
    const auto json = summaryJson(summary, 1);
    CHECK(json["requests"]["requests"] == 7);
    CHECK(json["requests"]["refused"]["no slot in time"] == 3);
    CHECK(json["accounts"]["rows"].size() == 1);
    CHECK(json["accounts"]["rows"][0]["name"] == "b");
    CHECK(json["accounts"]["rest"]["names"] == 2);
    CHECK(json["accounts"]["rest"]["lost"] == 2);
    CHECK(json["intervals"]["rows"][0]["from"] == 7);
    CHECK(json["lines"]["counted"] == 7);
    const auto text = summaryText(summary, 1);
    CHECK(text.find("refused: no slot in time 3, over the rate 1") != std::string::npos);
    CHECK(text.find("(2 more)") != std::string::npos);
    CHECK(text.find("57.14%") != std::string::npos); // 4 of 7 lost
    const LogSummary empty({});
    CHECK_FALSE(summaryText(empty, 1).empty());
    CHECK(summaryJson(empty, 1)["requests"]["requests"] == 0);
}

} // namespace coriandergate::log
