#include "fleet/link_support.h"
#include "plantainhaven/fleet/local_link.h"
#include "plantainhaven/fleet/view_follower.h"
#include "plantainhaven/policy/view/fleet_view.h"

#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <google/protobuf/unknown_field_set.h>

// A rolling upgrade runs two versions side by side. The newer one is played by adding
// field numbers that this version's schema doesn't have.
namespace plantainhaven {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kOwnVersion = 1;
constexpr std::uint32_t kNewerVersion = 2;
constexpr int kUnknownNumber = 900;
constexpr int kUnknownText = 901;
constexpr int kUnknownMessage = 902;

// Adds a field of each wire form.
void
AddUnknownFields(google::protobuf::Message& aMessage)
{
  google::protobuf::UnknownFieldSet* const fields =
    aMessage.GetReflection()->MutableUnknownFields(&aMessage);
  fields->AddVarint(kUnknownNumber, 7);
  fields->AddLengthDelimited(kUnknownText, "from a newer version");
  fields->AddGroup(kUnknownMessage)->AddFixed64(1, 7);
}

Envelope
NewerEnvelope(std::uint64_t aAskId)
{
  Envelope message;
  message.set_version(kNewerVersion);
  message.set_from("vm-new");
  message.set_from_incarnation(3);
  message.set_to("vm-old");
  message.set_reply_to("tcp://127.0.0.1:1");
  message.set_ask_id(aAskId);
  AddUnknownFields(message);
  return message;
}

Envelope
NewerHeadAsk(std::uint64_t aAskId)
{
  Envelope message = NewerEnvelope(aAskId);
  message.mutable_head_ask()->set_applied_revision(4);
  AddUnknownFields(*message.mutable_head_ask());
  return message;
}

// A kind of body that this version doesn't know.
Envelope
NewerBody(std::uint64_t aAskId)
{
  return NewerEnvelope(aAskId);
}

// A body of this version with fields left out that it always sends.
Envelope
OlderHeadAsk(std::uint64_t aAskId)
{
  Envelope message;
  message.set_from("vm-older");
  message.set_ask_id(aAskId);
  message.mutable_head_ask();
  return message;
}

ChangeRecord
RegionChange(Revision aRevision)
{
  ChangeRecord change;
  change.set_revision(aRevision);
  Resource* const region = change.add_puts();
  region->set_name("region-" + std::to_string(aRevision));
  region->mutable_region()->add_failure_domains("a");
  return change;
}

ViewAnswer
AnswerWith(const ChangeRecord& aChange)
{
  ViewAnswer answer;
  answer.set_applied_revision(aChange.revision());
  answer.set_fresh_until_boottime_ns(1);
  *answer.add_changes() = aChange;
  return answer;
}

} // namespace

TEST_CASE("Envelopes of other versions arrive between those of this version")
{
  struct Case
  {
    const char* what;
    Envelope message;
    Envelope::BodyCase body;
  };
  const Case cases[] = {
    { "newer, known body", NewerHeadAsk(1), Envelope::kHeadAsk },
    { "newer, unknown body", NewerBody(2), Envelope::BODY_NOT_SET },
    { "older", OlderHeadAsk(3), Envelope::kHeadAsk },
  };
  const std::uint16_t port = FreePort();
  ZmqPeerLink receiver;
  REQUIRE(IsOk(receiver.Bind(kLoopback, port)));
  ZmqPeerLink sender;
  const std::string endpoint = LoopbackEndpoint(port);
  for (const Case& each : cases) {
    CAPTURE(each.what);
    Envelope own;
    own.set_version(kOwnVersion);
    own.mutable_head_answer()->set_head(5);
    REQUIRE(Eventually([&] { return sender.Send(endpoint, each.message); }));
    REQUIRE(Eventually([&] { return sender.Send(endpoint, own); }));
    const std::optional<Envelope> other = receiver.Receive(milliseconds(5000));
    REQUIRE(other);
    CHECK(other->version() == each.message.version());
    CHECK(other->from() == each.message.from());
    CHECK(other->ask_id() == each.message.ask_id());
    CHECK(other->body_case() == each.body);
    const std::optional<Envelope> next = receiver.Receive(milliseconds(5000));
    REQUIRE(next);
    CHECK(next->head_answer().head() == 5);
  }
}

TEST_CASE("A voter answers a newer asker and passes over a body it doesn't know")
{
  const FleetViewOptions options{ .self = "vm-old",
                                  .incarnation = 1,
                                  .endpoint = "tcp://127.0.0.1:2" };
  const BootTime now{ std::chrono::seconds(100) };
  FleetView view(options, now);
  const std::vector<FleetMember> members = { { "vm-old", "tcp://127.0.0.1:2", "a", 1, false },
                                             { "vm-new", "tcp://127.0.0.1:1", "b", 3, false } };
  view.OnBase(4, members, now);
  CHECK(view.OnMessage(NewerBody(8), now).empty());
  const std::vector<OutgoingEnvelope> sent = view.OnMessage(NewerHeadAsk(9), now);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].endpoint == "tcp://127.0.0.1:1");
  CHECK(sent[0].message.ask_id() == 9);
  CHECK(sent[0].message.has_head_answer());
}

TEST_CASE("Fields of a newer version are kept when a change is passed on")
{
  ChangeRecord change = RegionChange(1);
  AddUnknownFields(change);
  AddUnknownFields(*change.mutable_puts(0));
  AddUnknownFields(*change.mutable_puts(0)->mutable_region());
  Envelope push;
  *push.mutable_push()->mutable_change() = change;
  Envelope received;
  REQUIRE(received.ParseFromString(push.SerializeAsString()));
  CHECK(received.push().change().SerializeAsString() == change.SerializeAsString());
  Configuration configuration;
  REQUIRE(IsOk(configuration.Apply(received.push().change())));
  const Resource* const region = configuration.Find("region", "region-1");
  REQUIRE(region != nullptr);
  const auto& fields = region->GetReflection()->GetUnknownFields(*region);
  CHECK(fields.field_count() == 3);
}

TEST_CASE("An asker and a controld of different versions understand each other")
{
  const std::uint16_t port = FreePort();
  std::atomic<bool> stopping = false;
  std::thread controld([&] {
    LocalServer server;
    server.Bind(kLoopback, port);
    while (!stopping) {
      server.ProcessRequests([](const ViewAsk& aAsk) {
        ViewAnswer answer = AnswerWith(RegionChange(aAsk.applied_revision() + 1));
        AddUnknownFields(answer);
        return answer;
      });
      std::this_thread::sleep_for(milliseconds(1));
    }
  });
  LocalClient client(kLoopback, port);
  ViewFollower follower("lookup");
  ViewAsk ask = follower.BuildRequest();
  AddUnknownFields(ask);
  const std::optional<ViewAnswer> answer = client.RequestView(ask, milliseconds(5000));
  stopping = true;
  controld.join();
  REQUIRE(answer);
  CHECK_FALSE(follower.OnAnswer(*answer).failed);
  CHECK(follower.Current().AppliedRevision() == 1);
}

// A newer plantainctl may store a kind of resource that older VMs don't know yet. They
// must go on from revision to revision, and keep it for the snapshots they make.
TEST_CASE("A change with a kind of resource of a newer version is applied")
{
  ChangeRecord change = RegionChange(1);
  Resource* const unknown = change.add_puts();
  unknown->set_name("of-a-newer-kind");
  unknown->set_kind("newer_kind");
  AddUnknownFields(*unknown);
  ViewFollower follower("entry");
  CHECK_FALSE(follower.OnAnswer(AnswerWith(change)).failed);
  CHECK(follower.Current().AppliedRevision() == 1);
  CHECK(follower.Current().Find("region", "region-1") != nullptr);
}

} // namespace plantainhaven
