#include "peermessagecodec.h"
#include "peermessagegenerator.h"

#include <capnp/serialize.h>
#include <catch2/catch.hpp>

using namespace nutmeghinge;

namespace {

using Params = wire::PeerControl::DeliverParams;
using Codec = PeerMessageCodec;

kj::Array<capnp::word> wordsOf(const PeerMessage &message, MemberSlot from = MemberSlot(3))
{
    capnp::MallocMessageBuilder builder;
    Codec::write(builder.initRoot<Params>(), SendPeerMessage{Endpoint(), from, ServiceName("advice-desk"), message, HybridTime()});
    return capnp::messageToFlatArray(builder);
}

std::variant<PeerMessageArrived, PeerMessageError> readWords(kj::ArrayPtr<const capnp::word> words)
{
    std::variant<PeerMessageArrived, PeerMessageError> result;
    const auto unreadable = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words);
        result = Codec::read(reader.getRoot<Params>());
    });
    if (unreadable != nullptr) {
        return PeerMessageError{"unreadable"};
    }
    return result;
}

/** Returns the error of reading the message, or an empty text if it was accepted. */
std::string errorOf(const PeerMessage &message, MemberSlot from = MemberSlot(3))
{
    const auto result = readWords(wordsOf(message, from));
    const auto *error = std::get_if<PeerMessageError>(&result);
    return error == nullptr ? std::string() : error->reason;
}

} // namespace

TEST_CASE("A peer message survives a round trip through its encoding")
{
    const bool held = rc::check([] {
        const PeerMessage message = *anyPeerMessage();
        const auto result = readWords(wordsOf(message));
        RC_ASSERT(std::holds_alternative<PeerMessageArrived>(result));
        const auto &arrived = std::get<PeerMessageArrived>(result);
        RC_ASSERT(arrived.from == MemberSlot(3));
        RC_ASSERT(arrived.service == ServiceName("advice-desk"));
        RC_ASSERT(arrived.message == message);
    });
    CHECK(held);
}

TEST_CASE("A corrupted peer message is either read as a message within the limits or rejected")
{
    const bool held = rc::check([] {
        kj::Array<capnp::word> words = wordsOf(*anyPeerMessage());
        auto *bytes = reinterpret_cast<std::uint8_t *>(words.begin());
        const auto changes = *rc::gen::inRange(1, 20);
        for (int i = 0; i < changes; ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, words.size() * sizeof(capnp::word))] = *rc::gen::arbitrary<std::uint8_t>();
        }
        const auto result = readWords(words);
        if (const auto *arrived = std::get_if<PeerMessageArrived>(&result)) {
            RC_ASSERT(arrived->from != noMember);
            // An accepted message is within the limits, so it must be accepted again.
            RC_ASSERT(errorOf(arrived->message, arrived->from).empty());
        }
    });
    CHECK(held);
}

TEST_CASE("A peer message with a number out of range is rejected")
{
    const std::uint64_t tooHigh = Codec::maxCounter + 1;
    const MonotonicTime now(std::chrono::seconds(1));
    CHECK(errorOf(VoteRequest{Term(1), CellRevision(1), now}).empty());
    CHECK(errorOf(VoteRequest{Term(1), CellRevision(1), now}, noMember) == "sender out of range");
    CHECK(errorOf(VoteRequest{Term(tooHigh), CellRevision(1), now}) == "term out of range");
    CHECK(errorOf(VoteRequest{Term(1), CellRevision(tooHigh), now}) == "cell revision out of range");
    CHECK(errorOf(VoteRequest{Term(1), CellRevision(1), MonotonicTime(Duration(-1))}) == "time out of range");
    CHECK(errorOf(HandoverAccepted{ShardIndex(Codec::maxShards), {}}) == "shard out of range");
    CHECK(errorOf(HandoverAccepted{ShardIndex(1), {Term(1), tooHigh}}) == "fence sequence out of range");

    HeartbeatAnswer answer;
    answer.lease = Duration(-1);
    CHECK(errorOf(answer) == "lease out of range");
    answer.lease = Codec::maxLease + Duration(1);
    CHECK(errorOf(answer) == "lease out of range");
    answer.lease = Duration(0);
    answer.map.emplace();
    answer.map->shards.push_back({static_cast<ShardOwnership::State>(3), MemberSlot(1), noMember, {}});
    CHECK(errorOf(answer) == "shard state out of range");
    answer.map->shards.assign(Codec::maxShards + 1, {});
    CHECK(errorOf(answer) == "number of shards out of range");

    Heartbeat heartbeat;
    heartbeat.load.inFlight = Codec::maxRequests + 1;
    CHECK(errorOf(heartbeat) == "number of requests out of range");
    heartbeat.load.inFlight = 0;
    heartbeat.load.shards.push_back({ShardIndex(1), Codec::maxMilliRequestsPerSecond + 1});
    CHECK(errorOf(heartbeat) == "rate out of range");

    HandoverOffer offer;
    offer.entries.push_back({ShardIndex(1), "key", StoredAnswer{99, {}, ""}, Duration(0)});
    CHECK(errorOf(offer) == "answer status out of range");
    offer.entries.front().answer.reset();
    offer.entries.front().age = Duration(-1);
    CHECK(errorOf(offer) == "age out of range");
}

TEST_CASE("Invalid or superfluous member loads do not discard the lease and the map of a heartbeat answer")
{
    HeartbeatAnswer answer;
    answer.term = Term(4);
    answer.lease = std::chrono::seconds(1);
    answer.map.emplace();
    answer.map->shards.push_back({ShardOwnership::State::Owned, MemberSlot(1), noMember, {Term(4), 2}});
    const auto readAnswer = [&] {
        const auto result = readWords(wordsOf(answer));
        REQUIRE(std::holds_alternative<PeerMessageArrived>(result));
        return std::get<HeartbeatAnswer>(std::get<PeerMessageArrived>(result).message);
    };
    answer.loads.resize(Codec::maxMembers + 1);
    HeartbeatAnswer expected = answer;
    expected.loads.resize(Codec::maxMembers);
    CHECK(readAnswer() == expected);

    answer.loads.resize(3);
    answer.loads[1].queued = Codec::maxRequests + 1;
    expected.loads.resize(2);
    CHECK(readAnswer() == expected);

    // Invalid fields of the answer itself still reject it.
    answer.lease = Codec::maxLease + Duration(1);
    CHECK(errorOf(answer) == "lease out of range");
}
