#include "seat/SeatMessage.h"

#include "base/DaemonIdentityJson.h"

namespace coriandergate::seat {

namespace {

    using nlohmann::json;

    struct Addressee {
        auto operator()(const LeaseRequest& message) const -> const DaemonIdentity& { return message.guard; }
        auto operator()(const LeaseResponse& message) const -> const DaemonIdentity& { return message.holder; }
        auto operator()(const PrepareRequest& message) const -> const DaemonIdentity& { return message.guard; }
        auto operator()(const PrepareResponse& message) const -> const DaemonIdentity& { return message.successor; }
        auto operator()(const LeaseRelease& message) const -> const DaemonIdentity& { return message.guard; }
    };

    struct Encoder {
        auto operator()(const LeaseRequest& m) const -> json
        {
            return { "renewalAsk", m.holder, m.guard, m.seat, m.term.epoch, m.term.rank, m.sequence, m.acknowledged };
        }

        auto operator()(const LeaseResponse& m) const -> json
        {
            return { "renewal", m.holder, m.guard, m.seat, m.term.epoch, m.term.rank, m.sequence, m.isGranted,
                m.duration.count(), m.promisedRank };
        }

        auto operator()(const PrepareRequest& m) const -> json
        {
            return { "promiseAsk", m.successor, m.guard, m.seat, m.epoch, m.rank };
        }

        auto operator()(const PrepareResponse& m) const -> json
        {
            return { "promise", m.successor, m.guard, m.seat, m.epoch, m.rank, m.isGiven, m.remaining.count() };
        }

        auto operator()(const LeaseRelease& m) const -> json
        {
            return { "release", m.holder, m.guard, m.seat, m.term.epoch, m.term.rank };
        }
    };

    auto decode(const json& array) -> std::optional<SeatMessage>
    {
        const auto kind = array.at(0).get<std::string>();
        const auto first = array.at(1).get<DaemonIdentity>();
        const auto second = array.at(2).get<DaemonIdentity>();
        const auto seat = array.at(3).get<std::uint32_t>();
        const auto epoch = array.at(4).get<std::uint64_t>();
        const auto rank = array.at(5).get<std::uint32_t>();
        const auto number = [&array](std::size_t place) { return array.at(place).get<std::uint64_t>(); };
        const auto flag = [&array](std::size_t place) { return array.at(place).get<bool>(); };
        const auto milliseconds
            = [&array](std::size_t place) { return std::chrono::milliseconds { array.at(place).get<std::int64_t>() }; };
        if (kind == "renewalAsk")
            return LeaseRequest { first, second, seat, { epoch, rank }, number(6), number(7) };
        if (kind == "renewal") {
            return LeaseResponse { first, second, seat, { epoch, rank }, number(6), flag(7), milliseconds(8),
                array.at(9).get<std::uint32_t>() };
        }
        if (kind == "promiseAsk")
            return PrepareRequest { first, second, seat, epoch, rank };
        if (kind == "promise")
            return PrepareResponse { first, second, seat, epoch, rank, flag(6), milliseconds(7) };
        if (kind == "release")
            return LeaseRelease { first, second, seat, { epoch, rank } };
        return std::nullopt;
    }

} // namespace

auto recipientOf(const SeatMessage& message) -> const DaemonIdentity& { return std::visit(Addressee {}, message); }

auto encodeSeatMessage(const SeatMessage& message) -> std::string { return std::visit(Encoder {}, message).dump(); }

auto decodeSeatMessage(std::string_view text, Error& reason) -> std::optional<SeatMessage>
{
    try {
        if (auto message = decode(json::parse(text)))
            return message;
        reason = { "decode seat message", "", "unknown kind" };
    } catch (const json::exception& exception) {
        reason = { "decode seat message", "", exception.what() };
    }
    return std::nullopt;
}

} // namespace coriandergate::seat
