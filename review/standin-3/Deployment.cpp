#include "Deployment.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace standin {

using nlohmann::json;

namespace {

    // programOf() is the program that the deploy file runs on every host.
    std::string programOf(const std::string& root)
    {
        std::ifstream file(root + "/deploy/system.toml");
        const std::string prefix = "run = \"";
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with(prefix))
                return root + "/" + line.substr(prefix.size(), line.rfind('"') - prefix.size());
        }
        throw std::runtime_error("no run command in deploy/system.toml");
    }

} // namespace

Deployment::Deployment(const std::string& root, Record& recordOfRun, const std::string& ipPrefix)
    : record(recordOfRun)
    , directory(makeDirectory())
    , store(ipPrefix + "200", recordOfRun)
    , m_root(root)
    , m_ipPrefix(ipPrefix)
{
}

Deployment::~Deployment()
{
    for (auto& host : hosts) {
        if (host.instance)
            host.instance->stop();
        host.daemon.reset();
    }
    if (!std::getenv("KEEP_LOGS"))
        removeDirectory(directory);
}

void Deployment::addHost(const std::string& service)
{
    const auto number = hosts.size() + 1;
    const auto ip = m_ipPrefix + std::to_string(number);
    Host host;
    host.service = service;
    host.appPort = freePort(ip);
    host.appAddress = ip + ":" + std::to_string(host.appPort);
    host.daemon = std::make_unique<Daemon>(Daemon::Options { .program = programOf(m_root),
                                               .directory = directory,
                                               .name = "sidecar-" + std::to_string(number),
                                               .ip = ip,
                                               .zone = zone,
                                               .region = region,
                                               .zones = { { zone, region } },
                                               .service = service,
                                               .appAddress = host.appAddress,
                                               .storeAddress = store.address() },
        record);
    hosts.push_back(std::move(host));
}

Instance& Deployment::startInstance(std::size_t index, std::int64_t workMs, int slots)
{
    auto& host = hosts[index];
    host.instance = std::make_unique<Instance>(Instance::Options { .ip = host.daemon->ip(),
                                                   .port = host.appPort,
                                                   .id = "i-" + std::to_string(++m_instances),
                                                   .service = host.service,
                                                   .zone = zone,
                                                   .control = host.daemon->control(),
                                                   .slots = slots,
                                                   .workMs = workMs,
                                                   .spoil = spoil },
        record);
    return *host.instance;
}

bool Deployment::startAll(std::int64_t workMs, int slots)
{
    for (auto& host : hosts)
        host.daemon->start(true);
    for (std::size_t i = 0; i < hosts.size(); ++i)
        startInstance(i, workMs, slots).startHeartbeats();
    return waitUntilReady(12000) && waitUntil(12000, [this] { return store.rowCount("hosts") == hosts.size(); });
}

bool Deployment::waitUntilReady(std::int64_t ms)
{
    return waitUntil(ms, [this] {
        for (const auto& host : hosts) {
            if (!host.daemon->isReady())
                return false;
        }
        return true;
    });
}

json makeManifest(
    int version, const std::vector<RouteOptions>& routes, const json& tenants, const std::vector<std::string>& services)
{
    auto rows = json::array();
    for (const auto& route : routes)
        rows.push_back({ route.name, "shop.example", route.prefix, route.kind, route.timeout, route.targetLatency, 1,
            route.service, route.maximumAttempts, route.isPublic, nullptr });
    auto serviceRows = json::array();
    for (const auto& service : services)
        serviceRows.push_back({ service, "/health", 390, "h1", false });
    return { { "version", "r" + std::to_string(version) },
        { "routes",
            { { "columns",
                  { "name", "host", "prefix", "route_kind", "timeout", "target_latency", "priority", "service",
                      "max_attempts", "public", "traffic_split" } },
                { "rows", rows } } },
        { "services",
            { { "columns", { "name", "health_path", "connection_limit", "protocol", "tls" } },
                { "rows", serviceRows } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout", "3000ms" },
                { "idle_timeout", "15000ms" } } },
        { "tenants",
            { { "columns", { "name", "api_keys", "priority", "rate_per_s", "burst" } }, { "rows", tenants } } } };
}

} // namespace standin
