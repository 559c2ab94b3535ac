#include "testing/CrowdScripts.h"

#include <array>
#include <cstdio>
#include <stdexcept>

namespace coriandergate::testing {

namespace {

    using Script = ConnectionCrowd::Script;

    constexpr std::size_t manyConnections = 24;
    constexpr std::size_t silentConnections = 200;
    constexpr std::size_t endlessBytes = 8 * 1024 * 1024; // stands for bytes without end
    constexpr std::size_t headBytes = 12 * 1024; // within the limit for heads
    constexpr std::size_t pieceBytes = 1400; // about one packet
    constexpr std::size_t pipelineBytes = 96 * 1024;
    constexpr std::size_t wholeBodies = 4; // on one connection
    constexpr std::size_t largeChunk = 64 * 1024;

    auto chunk(std::size_t bytes) -> std::string
    {
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx", bytes);
        return std::string(size.data()) + "\r\n" + std::string(bytes, 'x') + "\r\n";
    }

    auto chunked(const std::string& head, std::size_t chunkBytes, std::size_t bodyBytes) -> Script
    {
        const auto repeated = chunk(chunkBytes);
        return { .opening = head + "Transfer-Encoding: chunked\r\n\r\n",
            .repeated = repeated,
            .repeatedBytes = bodyBytes / chunkBytes * repeated.size() };
    }

    auto sized(const std::string& head, std::size_t declared, std::size_t sent) -> Script
    {
        return { .opening = head + "Content-Length: " + std::to_string(declared) + "\r\n\r\n",
            .repeated = "x",
            .repeatedBytes = sent };
    }

    auto inPieces(Script script, std::size_t bytes) -> Script
    {
        script.pieceBytes = bytes;
        return script;
    }

    auto bodiesInTurn(const std::string& head, std::size_t bodyBytes) -> Script
    {
        auto one = head + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
        const auto size = one.size();
        return { .opening = {}, .repeated = std::move(one), .repeatedBytes = wholeBodies * size };
    }

} // namespace

auto crowdLoads(const CrowdTarget& target) -> std::vector<CrowdLoad>
{
    const auto common = " HTTP/1.1\r\nHost: demo.example\r\n" + target.headers;
    const auto post = "POST " + target.target + common;
    const auto get = "GET " + target.target + common;
    const auto pipelined = "GET " + target.pipelinedTarget + common + "\r\n";
    const auto emptyChunked = post + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    const auto bodyBytes = target.bodyBytes;
    return {
        { "trailers without end", manyConnections,
            { .opening = emptyChunked, .repeated = "X-Trailer: some value\r\n", .repeatedBytes = endlessBytes } },
        { "one trailer without end", manyConnections,
            { .opening = emptyChunked + "X-Trailer: ", .repeated = "x", .repeatedBytes = endlessBytes } },
        { "whole bodies that stop short", manyConnections, sized(post, bodyBytes, bodyBytes - 1) },
        { "bodies in pieces that stop short", manyConnections,
            inPieces(sized(post, bodyBytes, bodyBytes - 1), pieceBytes) },
        { "bodies in large chunks that stop short", manyConnections, chunked(post, largeChunk, bodyBytes) },
        { "bodies in tiny chunks that stop short", manyConnections, chunked(post, 1, bodyBytes / 4) },
        { "heads one byte at a time", manyConnections,
            { .opening = get, .repeated = "X-Header: some value\r\n", .repeatedBytes = headBytes, .pieceBytes = 1 } },
        { "headers without end", manyConnections,
            { .opening = get, .repeated = "X-Header: some value\r\n", .repeatedBytes = endlessBytes } },
        { "chunk extensions without end", manyConnections,
            { .opening = post + "Transfer-Encoding: chunked\r\n\r\n1;name=",
                .repeated = "x",
                .repeatedBytes = endlessBytes } },
        { "bodies one after the other", manyConnections, bodiesInTurn(post, bodyBytes) },
        { "pipelines whose responses nobody reads", manyConnections,
            { .opening = {}, .repeated = pipelined, .repeatedBytes = pipelineBytes, .readsResponses = false } },
        { "connections that say nothing", silentConnections, {} },
    };
}

auto crowdLoad(const CrowdTarget& target, const std::string& name) -> CrowdLoad
{
    for (const auto& load : crowdLoads(target)) {
        if (load.name == name)
            return load;
    }
    throw std::invalid_argument("no load is called " + name);
}

} // namespace coriandergate::testing
