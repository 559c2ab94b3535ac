#include "seat/SeatMessage.h"

#include "base/DaemonIdentityJson.h"

namespace coriandergate::seat {

namespace {

    using nlohmann::json;

    struct RecipientVisitor {
        auto operator()(const LeaseRequest& message) const -> const DaemonIdentity& { return message.grantor; }
        auto operator()(const LeaseResponse& message) const -> const DaemonIdentity& { return message.holder; }
        auto operator()(const PrepareRequest& message) const -> const DaemonIdentity& { return message.grantor; }
        auto operator()(const PrepareResponse& message) const -> const DaemonIdentity& { return message.candidate; }
        auto operator()(const LeaseRelease& message) const -> const DaemonIdentity& { return message.grantor; }
    };

    // A message is an array that starts with its kind; the kinds are fixed by the wire format.
    struct Encoder {
        auto operator()(const LeaseRequest& m) const -> json
        {
            return { "renewalAsk", m.holder, m.grantor, m.seat, m.term.epoch, m.term.rank, m.sequence,
                m.acknowledgedSequence };
        }

        auto operator()(const LeaseResponse& m) const -> json
        {
            return { "renewal", m.holder, m.grantor, m.seat, m.term.epoch, m.term.rank, m.sequence, m.isGranted,
                m.leaseDuration.count(), m.promisedRank };
        }

        auto operator()(const PrepareRequest& m) const -> json
        {
            return { "promiseAsk", m.candidate, m.grantor, m.seat, m.epoch, m.rank };
        }

        auto operator()(const PrepareResponse& m) const -> json
        {
            return { "promise", m.candidate, m.grantor, m.seat, m.epoch, m.rank, m.isPromised,
                m.remainingLease.count() };
        }

        auto operator()(const LeaseRelease& m) const -> json
        {
            return { "release", m.holder, m.grantor, m.seat, m.term.epoch, m.term.rank };
        }
    };

    auto decode(const json& array) -> std::optional<SeatMessage>
    {
        const auto kind = array.at(0).get<std::string>();
        const auto client = array.at(1).get<DaemonIdentity>();
        const auto grantor = array.at(2).get<DaemonIdentity>();
        const auto seat = array.at(3).get<std::uint32_t>();
        const auto epoch = array.at(4).get<std::uint64_t>();
        const auto rank = array.at(5).get<std::uint32_t>();
        const auto numberAt = [&array](std::size_t index) { return array.at(index).get<std::uint64_t>(); };
        const auto flagAt = [&array](std::size_t index) { return array.at(index).get<bool>(); };
        const auto millisecondsAt
            = [&array](std::size_t index) { return std::chrono::milliseconds { array.at(index).get<std::int64_t>() }; };
        if (kind == "renewalAsk")
            return LeaseRequest { client, grantor, seat, { epoch, rank }, numberAt(6), numberAt(7) };
        if (kind == "renewal") {
            return LeaseResponse { client, grantor, seat, { epoch, rank }, numberAt(6), flagAt(7), millisecondsAt(8),
                array.at(9).get<std::uint32_t>() };
        }
        if (kind == "promiseAsk")
            return PrepareRequest { client, grantor, seat, epoch, rank };
        if (kind == "promise")
            return PrepareResponse { client, grantor, seat, epoch, rank, flagAt(6), millisecondsAt(7) };
        if (kind == "release")
            return LeaseRelease { client, grantor, seat, { epoch, rank } };
        return std::nullopt;
    }

} // namespace

auto recipientOf(const SeatMessage& message) -> const DaemonIdentity&
{
    return std::visit(RecipientVisitor {}, message);
}

auto encodeSeatMessage(const SeatMessage& message) -> std::string { return std::visit(Encoder {}, message).dump(); }

auto decodeSeatMessage(std::string_view text, Error& reason) -> std::optional<SeatMessage>
{
    try {
        if (auto message = decode(json::parse(text)))
            return message;
        reason = { "decode seat message", "", "unknown message kind" };
    } catch (const json::exception& exception) {
        reason = { "decode seat message", "", exception.what() };
    }
    return std::nullopt;
}

} // namespace coriandergate::seat
