#include "Fleet.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

int Host::s_basePort = 0;
int Host::s_outbound = 0;
int Host::s_inbound = 0;
int Host::s_ready = 0;
int Host::s_control = 0;
int Host::s_application = 0;
int Host::s_metrics = 0;

namespace {

    constexpr const char* program = "target/coriandergate-sidecar"; // `run` of deploy/system.toml

    auto manifest(int version, const std::vector<ServicePlan>& services, const std::string& tenantRows) -> std::string
    {
        std::string routes;
        std::string names;
        for (const auto& service : services) {
            const auto& name = service.name;
            routes += (routes.empty() ? "" : ",") + std::string(R"(["book-)") + name + R"(","shop.example","/book-)"
                + name + R"(/","non_idempotent","5000ms","1500ms",1,")" + name + R"(",2,false,null],["view-)" + name
                + R"(","shop.example","/view-)" + name + R"(/","idempotent","5000ms","1500ms",2,")" + name
                + R"(",2,false,null])";
            names += (names.empty() ? "" : ",") + std::string(R"([")") + name + R"(","/health",390,"h1",false])";
        }
        return R"({"version":"r)" + std::to_string(version)
            + R"(","routes":{"columns":["name","host","prefix","route_kind","timeout","target_latency",)"
              R"("priority","service","max_attempts","public","traffic_split"],"rows":[)"
            + routes + R"(]},"services":{"columns":["name","health_path","connection_limit","protocol","tls"],"rows":[)"
            + names
            + R"(]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",)"
              R"("idle_timeout":"15000ms"},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],)"
              R"("rows":[)"
            + tenantRows + R"(]}})";
    }

} // namespace

auto Host::writeSettings(const std::string& service, const std::string& storeAddress, bool isFirstStart) const -> void
{
    std::ofstream file(m_folder + "/" + m_name + ".json");
    file << R"({"node":")" << m_name << R"(","role":"sidecar","machine_class":"sidecar","serves":["sidecar"],"ip":")"
         << m_ip << R"(","zone":"zone-a","region":"region-a","zones":{"zone-a":"region-a"},"listen":{"inbound":")"
         << address(s_inbound) << R"(","outbound":")" << address(s_outbound) << R"(","ready":")" << address(s_ready)
         << R"(","control":")" << address(s_control) << R"("},"internal_ports":[)" << s_metrics << "," << s_metrics + 1
         << R"(],"seeds":[],"bootstrap":)" << (isFirstStart ? "true" : "false")
         << R"(,"loss_counts":false,"limits":{"cpu_share":0.2,"cores":1,"memory_mb":)" << memoryMegabytes
         << R"(,"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0},"data_directory":null,"discovery":"static",)"
         << R"("entry":"static","heartbeat":"1500ms","contracts":["base","drain","config","cost","retry","recover",)"
         << R"("health","tenants","quota","platform"],"tolerance":{"machines":2,"zones":0,"regions":0},"bounds":[)"
         << R"("stability=3000ms","ack=4000ms","drain=2500ms","grace=6s","loss_slack=200ms","config_apply=2500ms",)"
         << R"("strict_revocation=true","revoke=5000ms","budget_ratio=0.2","budget_window=10s",)"
         << R"("budget_extra_tries=64","quota_window=5s","quota_overage=0.1","quota_slack=20"],"app_address":")"
         << application() << R"(","service":")" << service << R"(","platform_settings":{"address":")" << storeAddress
         << R"(","form":"table","writes_per_s":400,"reads_per_s":2000,"history":"20s"}})";
}

auto Host::startDaemon() -> void
{
    const auto setting = "CORIANDERGATE_BOOT=" + m_folder + "/" + m_name + ".json";
    const auto log = m_folder + "/" + m_name + ".log";
    const int process = ::fork();
    if (process == 0) {
        // The daemon ends with the program that started it. Daemons are started from the main thread only.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        std::string path = "PATH=/usr/bin:/bin";
        std::string home = "HOME=/tmp";
        std::string boot = setting;
        char* const environment[] = { path.data(), home.data(), boot.data(), nullptr };
        std::string name = program;
        char* const arguments[] = { name.data(), nullptr };
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    m_process = process;
    m_record.line("daemon " + m_name + " started");
}

auto Host::signalDaemon(int signal) -> void
{
    if (m_process > 0)
        ::kill(m_process, signal);
}

auto Host::wasReaped() -> bool
{
    int status = 0;
    if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
        return false;
    m_process = 0;
    m_record.line("daemon " + m_name + " ended, "
        + (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                               : "with exit status " + std::to_string(WEXITSTATUS(status))));
    return true;
}

auto Host::peakMegabytes() const -> long
{
    std::ifstream file("/proc/" + std::to_string(m_process.load()) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:"))
            return std::atol(line.c_str() + std::strlen("VmHWM:")) / 1024;
    }
    return 0;
}

auto Host::isReady() const -> bool
{
    const auto socket = connectTo(address(s_ready), 500);
    if (!socket || !socket->write(makeRequest("GET", "/coriandergate/readiness", { { "Host", "ready" } }, "")))
        return false;
    const auto response = socket->readMessage(500);
    return response && response->status() == 200;
}

Fleet::Fleet(Record& record, const std::vector<ServicePlan>& services, Instance::ChooseFate chooseFate,
    Instance::Started started)
    : m_record(record)
    , m_services(services)
    , m_chooseFate(std::move(chooseFate))
    , m_started(std::move(started))
{
}

auto Fleet::choosePorts() -> bool
{
    std::mt19937 random(std::random_device {}());
    const auto block = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
    for (int attempt = 0; attempt < 50; ++attempt) {
        const int base = 20000 + static_cast<int>(random() % 1000) * 10;
        int host = 10;
        bool areFree = isPortFree(block + "1:" + std::to_string(base));
        for (const auto& service : m_services) {
            for (std::size_t i = 0; i < service.instances; ++i, ++host) {
                for (int port = base; port < base + 8; ++port)
                    areFree = areFree && isPortFree(block + std::to_string(host) + ":" + std::to_string(port));
            }
        }
        if (!areFree)
            continue;
        Host::s_basePort = base;
        Host::s_outbound = base;
        Host::s_inbound = base + 1;
        Host::s_ready = base + 2;
        Host::s_control = base + 3;
        Host::s_application = base + 4;
        Host::s_metrics = base + 5;
        m_storeAddress = block + "1:" + std::to_string(base);
        host = 10;
        for (const auto& service : m_services) {
            for (std::size_t i = 0; i < service.instances; ++i, ++host) {
                const auto name = service.name + "-" + std::to_string(i + 1);
                m_hosts.push_back(std::make_unique<Host>(name, block + std::to_string(host), m_folder, m_record));
                m_hostServices.push_back(service.name);
                m_instances.push_back(std::make_unique<Instance>(Instance::Options { .id = "i-" + name,
                                                                     .service = service.name,
                                                                     .address = m_hosts.back()->application(),
                                                                     .controlAddress = m_hosts.back()->control(),
                                                                     .workMs = service.workMs },
                    m_record, m_chooseFate, m_started));
            }
        }
        return true;
    }
    return false;
}

auto Fleet::putManifest(int version, const std::string& tenantRows) -> void
{
    m_store->put("op", "config", manifest(version, m_services, tenantRows));
    m_record.line("the store acknowledges the manifest r" + std::to_string(version) + ", tenants [" + tenantRows + "]");
}

auto Fleet::start() -> bool
{
    const char* folder = std::getenv("CASE_FOLDER");
    m_folder = folder ? folder : "/tmp";
    if (::access(program, X_OK) != 0 || !choosePorts())
        return false;
    m_store = std::make_unique<Store>(m_storeAddress);
    putManifest(7, std::string(R"(["shop",[")") + Client::key + R"("],1,0,0])");
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        m_hosts[i]->writeSettings(m_hostServices[i], m_storeAddress, true);
        m_hosts[i]->startDaemon();
    }
    for (const auto& instance : m_instances) {
        if (!instance->start())
            return false;
    }
    const auto end = steady_clock::now() + std::chrono::seconds(15);
    std::size_t ready = 0;
    while (ready < m_hosts.size() || m_store->rows("hosts") < m_hosts.size()) {
        if (steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds(100));
        ready = 0;
        for (const auto& host : m_hosts)
            ready += host->isReady() ? 1 : 0;
    }
    // `bootstrap` is true only at the first start of the deployment.
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        m_hosts[i]->writeSettings(m_hostServices[i], m_storeAddress, false);
    // All machines are in touch after `stability`.
    std::this_thread::sleep_for(milliseconds(4000));
    m_record.line("all " + std::to_string(m_hosts.size()) + " daemons are ready and in touch");
    return true;
}

auto Fleet::stop() -> void
{
    for (const auto& host : m_hosts)
        host->signalDaemon(SIGKILL);
    const auto end = steady_clock::now() + std::chrono::seconds(3);
    for (const auto& host : m_hosts) {
        while (!host->wasReaped() && host->peakMegabytes() > 0 && steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(5));
    }
}

auto Client::send(const std::string& method, const std::string& path, const std::string& id, const std::string& body,
    const std::string& apiKey) -> Outcome
{
    if (m_socket && m_socket->isPeerGone())
        m_socket = nullptr;
    if (!m_socket)
        m_socket = connectTo(m_address, 1000);
    if (!m_socket)
        return {};
    const auto request = makeRequest(method, path,
        { { "Host", "shop.example" }, { "X-Request-Id", id },
            { "X-Deadline-Milliseconds", std::to_string(timeBudgetMs) }, { "Api-Key", apiKey } },
        body);
    const auto response = m_socket->write(request) ? m_socket->readMessage(timeBudgetMs) : std::nullopt;
    if (!response) {
        m_socket = nullptr;
        return {};
    }
    if (response->header("Connection") == "close")
        m_socket = nullptr;
    return { response->status(), response->header("X-Server-Signature").value_or(""), response->body };
}

auto isTroubled() -> bool
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

auto finish(int status) -> void { std::_Exit(status); }

} // namespace review
