#include "fleet/link_support.h"
#include "fleet/relay.h"
#include "plantainhaven/fleet/peer_link.h"

#include <memory>

#include <catch2/catch.hpp>
#include <zmq.hpp>

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortWait{ 20 };
constexpr std::uint32_t kNewerVersion = 999;

Envelope
HeadAskNumber(std::uint64_t aAskId)
{
  Envelope message;
  message.set_version(1);
  message.set_from("vm-a");
  message.set_ask_id(aAskId);
  message.mutable_head_ask()->set_applied_revision(aAskId);
  return message;
}

// Two ends of one implementation, and the endpoint of the second.
struct LinkPair
{
  std::unique_ptr<PeerLink> sender;
  std::unique_ptr<PeerLink> receiver;
  std::string endpoint;
  std::unique_ptr<MemoryNetwork> network = {};
};

LinkPair
MakeZmqPair()
{
  const std::uint16_t port = FreePort();
  auto receiver = std::make_unique<ZmqPeerLink>();
  REQUIRE(IsOk(receiver->Bind(kLoopback, port)));
  return { std::make_unique<ZmqPeerLink>(), std::move(receiver), LoopbackEndpoint(port) };
}

LinkPair
MakeMemoryPair()
{
  auto network = std::make_unique<MemoryNetwork>();
  auto sender = std::make_unique<MemoryPeerLink>(*network, "tcp://sender");
  auto receiver = std::make_unique<MemoryPeerLink>(*network, "tcp://receiver");
  return { std::move(sender), std::move(receiver), "tcp://receiver", std::move(network) };
}

struct Implementation
{
  const char* name;
  LinkPair (*make)();
};

const Implementation kImplementations[] = {
  { "zmq", MakeZmqPair },
  { "memory", MakeMemoryPair },
};

bool
SendsOnce(LinkPair& aPair, const Envelope& aMessage)
{
  return Eventually([&] { return aPair.sender->Send(aPair.endpoint, aMessage); });
}

std::optional<Envelope>
ReceivesOne(PeerLink& aLink)
{
  std::optional<Envelope> message;
  Eventually([&] {
    message = aLink.Receive(kShortWait);
    return message.has_value();
  });
  return message;
}

} // namespace

TEST_CASE("PeerLink contract")
{
  for (const Implementation& implementation : kImplementations) {
    DYNAMIC_SECTION(implementation.name << " delivers whole messages in order")
    {
      LinkPair pair = implementation.make();
      constexpr std::uint64_t kMessages = 20;
      for (std::uint64_t id = 1; id <= kMessages; ++id) {
        REQUIRE(SendsOnce(pair, HeadAskNumber(id)));
      }
      for (std::uint64_t id = 1; id <= kMessages; ++id) {
        const std::optional<Envelope> message = ReceivesOne(*pair.receiver);
        REQUIRE(message);
        CHECK(message->SerializeAsString() == HeadAskNumber(id).SerializeAsString());
      }
    }
    DYNAMIC_SECTION(implementation.name << " gives nothing when nothing came")
    {
      LinkPair pair = implementation.make();
      CHECK_FALSE(pair.receiver->Receive(milliseconds(0)));
      CHECK_FALSE(pair.receiver->Receive(kShortWait));
    }
    DYNAMIC_SECTION(implementation.name << " refuses an endpoint that can't be")
    {
      LinkPair pair = implementation.make();
      for (const char* endpoint : { "", "tcp://", "ipc:///tmp/x", "tcp://host.example:1" }) {
        CAPTURE(endpoint);
        CHECK_FALSE(pair.sender->Send(endpoint, HeadAskNumber(1)));
      }
    }
    DYNAMIC_SECTION(implementation.name << " sends again after Reset")
    {
      LinkPair pair = implementation.make();
      REQUIRE(SendsOnce(pair, HeadAskNumber(1)));
      REQUIRE(ReceivesOne(*pair.receiver));
      pair.sender->Reset(pair.endpoint);
      pair.sender->Reset("tcp://never-used");
      REQUIRE(SendsOnce(pair, HeadAskNumber(2)));
      const std::optional<Envelope> message = ReceivesOne(*pair.receiver);
      REQUIRE(message);
      CHECK(message->ask_id() == 2);
    }
    DYNAMIC_SECTION(implementation.name << " delivers messages of a newer version")
    {
      LinkPair pair = implementation.make();
      Envelope newer = HeadAskNumber(7);
      newer.set_version(kNewerVersion);
      REQUIRE(SendsOnce(pair, newer));
      const std::optional<Envelope> message = ReceivesOne(*pair.receiver);
      REQUIRE(message);
      CHECK(message->version() == kNewerVersion);
      CHECK(message->has_head_ask());
    }
  }
}

TEST_CASE("MemoryPeerLink loses, duplicates and reorders as told")
{
  using Fate = MemoryNetwork::Fate;
  struct Case
  {
    Fate fate;
    std::vector<std::uint64_t> expected;
  };
  const Case cases[] = {
    { Fate::kDeliver, { 1, 2 } },
    { Fate::kLose, { 1 } },
    { Fate::kDuplicate, { 1, 2, 2 } },
    { Fate::kOvertake, { 2, 1 } },
  };
  for (const Case& each : cases) {
    CAPTURE(static_cast<int>(each.fate));
    LinkPair pair = MakeMemoryPair();
    pair.network->rule = [&](const Envelope& aMessage) {
      return aMessage.ask_id() == 2 ? each.fate : Fate::kDeliver;
    };
    pair.sender->Send(pair.endpoint, HeadAskNumber(1));
    pair.sender->Send(pair.endpoint, HeadAskNumber(2));
    std::vector<std::uint64_t> seen;
    while (const std::optional<Envelope> message = pair.receiver->Receive(milliseconds(0))) {
      seen.push_back(message->ask_id());
    }
    CHECK(seen == each.expected);
  }
}

TEST_CASE("ZmqPeerLink drops malformed messages and delivers what follows")
{
  LinkPair pair = MakeZmqPair();
  zmq::context_t context;
  zmq::socket_t raw(context, zmq::socket_type::push);
  raw.set(zmq::sockopt::linger, 0);
  raw.connect(pair.endpoint);
  // A field header that promises more bytes than there are.
  raw.send(zmq::buffer("\x12\x7f", 2));
  // An envelope in two parts.
  const std::string bytes = HeadAskNumber(3).SerializeAsString();
  raw.send(zmq::buffer(bytes), zmq::send_flags::sndmore);
  raw.send(zmq::buffer(bytes));
  raw.send(zmq::buffer(HeadAskNumber(4).SerializeAsString()));
  const std::optional<Envelope> message = ReceivesOne(*pair.receiver);
  REQUIRE(message);
  CHECK(message->ask_id() == 4);
  CHECK_FALSE(pair.receiver->Receive(kShortWait));
}

TEST_CASE("ZmqPeerLink reports an address in use")
{
  const SilentListener taken;
  ZmqPeerLink link;
  const Result<Done> bound = link.Bind(kLoopback, taken.Port());
  REQUIRE_FALSE(IsOk(bound));
  CHECK(ErrorOf(bound).kind == ErrorKind::kUnavailable);
  CHECK(ErrorOf(bound).message.find(std::to_string(taken.Port())) != std::string::npos);
  CHECK_FALSE(ErrorOf(bound).remedy.empty());
}

TEST_CASE("ZmqPeerLink: an endpoint that went silent is bounded and can be replaced")
{
  auto silent = std::make_unique<SilentListener>();
  const std::uint16_t port = silent->Port();
  const std::string endpoint = LoopbackEndpoint(port);
  ZmqPeerLink sender;
  const std::string padding(4096, 'x');
  Envelope message = HeadAskNumber(1);
  message.set_from(padding);
  // The connection opens and nobody reads: messages are dropped, Send never waits.
  int accepted = 0;
  constexpr int kSends = 2000;
  for (int i = 0; i < kSends; ++i) {
    accepted += sender.Send(endpoint, message) ? 1 : 0;
  }
  CHECK(accepted < kSends);
  silent.reset();
  ZmqPeerLink receiver;
  REQUIRE(IsOk(receiver.Bind(kLoopback, port)));
  sender.Reset(endpoint);
  REQUIRE(Eventually([&] { return sender.Send(endpoint, HeadAskNumber(2)); }));
  const std::optional<Envelope> received = ReceivesOne(receiver);
  REQUIRE(received);
  CHECK(received->ask_id() == 2);
}

TEST_CASE("ZmqPeerLink: a half-open connection is replaced by Reset")
{
  const std::uint16_t port = FreePort();
  ZmqPeerLink receiver;
  REQUIRE(IsOk(receiver.Bind(kLoopback, port)));
  Relay relay(port);
  const std::string endpoint = LoopbackEndpoint(relay.Port());
  ZmqPeerLink sender;
  REQUIRE(Eventually([&] { return sender.Send(endpoint, HeadAskNumber(1)); }));
  REQUIRE(ReceivesOne(receiver));
  relay.Silence();
  // The fault itself: the message is taken and never arrives.
  CHECK(sender.Send(endpoint, HeadAskNumber(2)));
  CHECK_FALSE(receiver.Receive(milliseconds(200)));
  sender.Reset(endpoint);
  REQUIRE(Eventually([&] { return sender.Send(endpoint, HeadAskNumber(3)); }));
  const std::optional<Envelope> message = ReceivesOne(receiver);
  REQUIRE(message);
  CHECK(message->ask_id() == 3);
}

TEST_CASE("ZmqPeerLink finds a restarted peer again without Reset")
{
  LinkPair pair = MakeZmqPair();
  REQUIRE(SendsOnce(pair, HeadAskNumber(1)));
  REQUIRE(ReceivesOne(*pair.receiver));
  pair.receiver.reset();
  auto restarted = std::make_unique<ZmqPeerLink>();
  const auto port =
    static_cast<std::uint16_t>(std::stoi(pair.endpoint.substr(pair.endpoint.rfind(':') + 1)));
  REQUIRE(IsOk(restarted->Bind(kLoopback, port)));
  CHECK(Eventually([&] {
    pair.sender->Send(pair.endpoint, HeadAskNumber(2));
    return restarted->Receive(kShortWait).has_value();
  }));
}

} // namespace plantainhaven
