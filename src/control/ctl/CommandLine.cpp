#include "control/ctl/CommandLine.h"

#include "base/Error.h"
#include "config/Declaration.h"
#include "config/KeyDigest.h"
#include "control/KeyChange.h"
#include "control/RecordCodec.h"
#include "control/ctl/Printing.h"
#include "http/Client.h"

#include <docopt.h>
#include <nlohmann/json.hpp>

#include <QCoreApplication>
#include <QUrl>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

namespace coriandergate::control::ctl {

namespace {

    using nlohmann::json;
    using Arguments = std::map<std::string, docopt::value>;

    constexpr auto usage = R"(Operates a fleet of coriandergate daemons.

Usage:
  coriandergatectl validate FILE [options]
  coriandergatectl diff FILE [options]
  coriandergatectl plan FILE [--purpose=TEXT] [options]
  coriandergatectl confirm PLAN [options]
  coriandergatectl status [options]
  coriandergatectl keys issue ACCOUNT [--purpose=TEXT] [--confirm] [options]
  coriandergatectl keys withdraw DIGEST [--purpose=TEXT] [--confirm] [options]
  coriandergatectl history [--after=VERSION] [--limit=COUNT] [options]
  coriandergatectl audit [--after=VERSION] [--limit=COUNT] [options]
  coriandergatectl export [options]
  coriandergatectl digest
  coriandergatectl --help

Options:
  --daemon=ADDRESS  Admin listener of any daemon [default: 127.0.0.1:7102].
  --output=FORM     text or json [default: text].
  --timeout=MS      For one answer of the daemon [default: 30000].
  --purpose=TEXT    Goes into the plan and the audit trail.
  --confirm         Confirm the plan at once.
  --after=VERSION   Only changes to later versions [default: 0].
  --limit=COUNT     At most so many records [default: 100].

FILE is a declaration; validate reads it without a daemon. DIGEST is the start of a key's digest, 8 digits at least.
keys issue makes the key here and sends only its digest. digest reads a key or token from standard input.
The environment variable CORIANDERGATE_TOKEN holds the operator's token.

Exit codes:
  0 done   1 failed   2 bad usage   3 invalid   4 another change came first   5 not accepted, the store is away
  6 outcome unknown, confirm again   7 diff found a difference   8 status found daemons behind or unreachable
)";

    constexpr std::size_t mostAnswerBytes = 64 * 1024 * 1024;

    // One answer of the daemon.
    struct Reply {
        int status = 0;
        std::string body;
        json value; // the body, if it is JSON
    };

    // Sends requests to one daemon, and waits for each answer.
    class Connection {
    public:
        Connection(std::string peer, std::chrono::milliseconds timeout)
            : m_peer(std::move(peer))
            , m_timeout(timeout)
        {
        }

        [[nodiscard]] auto call(std::string method, std::string path, std::string body, Error& reason)
            -> std::optional<Reply>
        {
            http::Request request {
                .method = std::move(method), .target = std::move(path), .headers = {}, .body = std::move(body)
            };
            request.headers.add("Host", m_peer);
            const auto* token = std::getenv("CORIANDERGATE_TOKEN");
            request.headers.add("Authorization", std::string("Bearer ") + (token != nullptr ? token : ""));
            http::Client client({});
            std::optional<http::ExchangeResult> result;
            client.send(m_peer, request, { .timeout = m_timeout, .maximumAnswerBytes = mostAnswerBytes },
                [&result](http::ExchangeResult answer) {
                    result = std::move(answer);
                    QCoreApplication::exit();
                });
            QCoreApplication::exec();
            if (const auto* failure = std::get_if<http::ExchangeFailure>(&*result)) {
                reason = failure->error;
                return std::nullopt;
            }
            auto& answer = std::get<http::Answer>(*result);
            return Reply { answer.status, answer.body, json::parse(answer.body, nullptr, false) };
        }

    private:
        std::string m_peer;
        std::chrono::milliseconds m_timeout;
    };

    auto exitCodeOf(const Reply& reply) -> int
    {
        switch (reply.status) {
        case 200:
        case 201:
            return Done;
        case 409:
            return Conflicting;
        case 422:
            return Invalid;
        case 503:
            return NotAccepted;
        case 504:
            return Unknown;
        default:
            return Failed;
        }
    }

    auto percentEncode(const std::string& text) -> std::string
    {
        return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
    }

    // One command under way.
    class Command {
    public:
        explicit Command(Arguments arguments)
            : m_arguments(std::move(arguments))
            , m_isJson(text("--output") == "json")
            , m_connection(text("--daemon"), std::chrono::milliseconds(m_arguments["--timeout"].asLong()))
        {
        }

        auto run() -> int
        {
            if (isSet("validate"))
                return validate();
            if (isSet("diff"))
                return diff();
            if (isSet("plan"))
                return plan();
            if (isSet("confirm"))
                return confirm(text("PLAN"));
            if (isSet("status"))
                return status();
            if (isSet("issue"))
                return issueKey();
            if (isSet("withdraw"))
                return withdrawKey();
            if (isSet("export"))
                return simple("GET", "/v1/export", {}, printBody);
            if (isSet("digest"))
                return digest();
            const auto path = isSet("audit") ? "/v1/audit" : "/v1/history";
            return simple("GET", path + ("?after=" + text("--after") + "&limit=" + text("--limit")), {}, printRecords);
        }

    private:
        [[nodiscard]] auto isSet(const char* name) -> bool
        {
            const auto& value = m_arguments[name];
            return value && value.isBool() && value.asBool();
        }

        [[nodiscard]] auto text(const char* name) -> std::string
        {
            const auto& value = m_arguments[name];
            return value && value.isString() ? value.asString() : std::string();
        }

        auto fail(const Error& reason) -> int
        {
            if (m_isJson)
                std::cout << json { { "result", "failed" },
                    { "error", { { "step", reason.step }, { "peer", reason.peer }, { "reason", reason.reason } } } }
                          << "\n";
            else
                std::cerr << reason.toText() << "\n";
            return Failed;
        }

        [[nodiscard]] auto readFile(Error& reason) -> std::optional<std::string>
        {
            const auto name = text("FILE");
            std::ifstream file(name);
            std::stringstream content;
            content << file.rdbuf();
            if (!file) {
                reason = { "read declaration", name, "the file can't be read" };
                return std::nullopt;
            }
            return content.str();
        }

        auto validate() -> int
        {
            Error reason;
            const auto content = readFile(reason);
            if (!content)
                return fail(reason);
            std::vector<config::DeclarationFault> faults;
            const auto isValid = config::parseDeclaration(*content, faults).has_value();
            const json value { { "result", isValid ? "valid" : "invalid" }, { "faults", faults } };
            if (m_isJson)
                std::cout << value << "\n";
            else
                printFaults(value, text("FILE"), std::cout);
            return isValid ? Done : Invalid;
        }

        // answerWith() prints a reply, as it is or for people, and gives its exit code.
        auto answerWith(const Reply& reply, Printer print) -> int
        {
            const auto code = exitCodeOf(reply);
            if (m_isJson && reply.value.is_discarded())
                std::cout << json { { "result", code == Done ? "done" : "failed" }, { "body", reply.body } } << "\n";
            else if (m_isJson)
                std::cout << reply.value << "\n";
            else if (code == Done)
                print(reply.value, reply.body, std::cout);
            else
                printRefusal(reply.value, reply.body, text("FILE"), std::cerr);
            return code;
        }

        auto simple(const std::string& method, const std::string& path, std::string body, Printer print) -> int
        {
            Error reason;
            const auto reply = m_connection.call(method, path, std::move(body), reason);
            return reply ? answerWith(*reply, print) : fail(reason);
        }

        auto diff() -> int
        {
            Error reason;
            const auto content = readFile(reason);
            const auto reply = content ? m_connection.call("POST", "/v1/diff", *content, reason) : std::nullopt;
            if (!reply)
                return fail(reason);
            const auto code = answerWith(*reply, printPlan);
            return code == Done && reply->value.value("result", "") == "differs" ? Differs : code;
        }

        auto plan() -> int
        {
            Error reason;
            const auto content = readFile(reason);
            if (!content)
                return fail(reason);
            return simple("POST", "/v1/plans?purpose=" + percentEncode(text("--purpose")), *content, printPlan);
        }

        auto confirm(const std::string& planId) -> int
        {
            return simple("POST", "/v1/plans/" + percentEncode(planId) + "/confirm", {}, printAccepted);
        }

        auto status() -> int
        {
            Error reason;
            const auto reply = m_connection.call("GET", "/v1/status", {}, reason);
            if (!reply)
                return fail(reason);
            const auto code = answerWith(*reply, printStatus);
            if (code != Done)
                return code;
            return reply->value.value("inForce", 0) == reply->value.value("daemons", 0) ? Done : NotEverywhere;
        }

        auto changeKey(const std::string& path, const json& body, const std::string& key) -> int
        {
            Error reason;
            const auto target = path + "?purpose=" + percentEncode(text("--purpose"));
            auto reply = m_connection.call("POST", target, body.dump(), reason);
            if (!reply)
                return fail(reason);
            if (!key.empty() && reply->value.is_object()) {
                reply->value["key"] = key;
                reply->value["keyDigest"] = config::digestOfKey(key);
            }
            const auto code = answerWith(*reply, printPlan);
            if (code != Done || !isSet("--confirm"))
                return code;
            return confirm(reply->value.value("id", ""));
        }

        auto issueKey() -> int
        {
            const auto key = makeKey();
            const json body { { "clientAccount", text("ACCOUNT") }, { "keyDigest", config::digestOfKey(key) } };
            return changeKey("/v1/keys/issue", body, key);
        }

        auto withdrawKey() -> int { return changeKey("/v1/keys/withdraw", { { "keyDigest", text("DIGEST") } }, {}); }

        auto digest() -> int
        {
            std::string secret;
            std::getline(std::cin, secret);
            std::cout << config::digestOfKey(secret) << "\n";
            return Done;
        }

        Arguments m_arguments;
        bool m_isJson;
        Connection m_connection;
    };

} // namespace

auto runCommandLine(int argumentCount, char** arguments) -> int
{
    QCoreApplication application(argumentCount, arguments);
    try {
        Command command(docopt::docopt_parse(usage, { arguments + 1, arguments + argumentCount }, true, false));
        return command.run();
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return Done;
    } catch (const std::exception& exception) {
        std::cerr << "bad usage: " << exception.what() << "\n\n" << usage;
        return BadUsage;
    }
}

} // namespace coriandergate::control::ctl
