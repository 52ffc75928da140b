#include "plantainhaven/control/bootstrap.h"

#include "control_fixture.h"
#include "plantainhaven/control/replica.h"

#include <catch2/catch.hpp>

#include <random>

using namespace plantainhaven;

namespace {

Configuration
SomeRegions(Revision aCount)
{
  Configuration configuration;
  for (Revision i = 1; i <= aCount; ++i) {
    REQUIRE(IsOk(configuration.Apply(RegionChange(i, "r" + std::to_string(i)))));
  }
  return configuration;
}

constexpr std::chrono::milliseconds kStep{ 20 };

} // namespace

TEST_CASE("a starting VM copies a peer's configuration over a lossy link")
{
  const int lossPercent = GENERATE(0, 30, 70);
  CAPTURE(lossPercent);
  std::mt19937_64 random(7);
  const Configuration original = SomeRegions(200);
  SnapshotServer server;
  BootTime now{ std::chrono::seconds(100) };
  server.SetCopy(original, now);
  PeerBootstrap starting("b", "tcp://127.0.0.2:1", { "tcp://127.0.0.1:1" });
  std::optional<Configuration> copy;
  for (int step = 0; step < 20000 && !copy; ++step) {
    now += kStep;
    for (const OutgoingEnvelope& ask : starting.OnTick(now)) {
      const std::optional<SnapshotAnswer> answer = server.Answer(ask.message.snapshot_ask());
      if (answer && static_cast<int>(random() % 100) >= lossPercent) {
        starting.OnAnswer(*answer, now);
      }
    }
    copy = starting.Take();
  }
  REQUIRE(copy);
  CHECK(copy->AppliedRevision() == 200);
  CHECK(copy->ToChunks() == original.ToChunks());
}

TEST_CASE("bootstrap fails over from an unresponsive peer to the next one")
{
  PeerBootstrap starting("c", "tcp://127.0.0.3:1", { "tcp://silent:1", "tcp://answers:1" });
  SnapshotServer server;
  BootTime now{ std::chrono::seconds(100) };
  server.SetCopy(SomeRegions(3), now);
  bool taken = false;
  for (int step = 0; step < 500 && !taken; ++step) {
    now += kStep;
    for (const OutgoingEnvelope& ask : starting.OnTick(now)) {
      const std::optional<SnapshotAnswer> answer = server.Answer(ask.message.snapshot_ask());
      if (answer && ask.endpoint == "tcp://answers:1") {
        starting.OnAnswer(*answer, now);
      }
    }
    taken = starting.Take().has_value();
  }
  CHECK(taken);
}

TEST_CASE("a chunk that doesn't match its digest is dropped")
{
  SnapshotServer server;
  BootTime now{ std::chrono::seconds(100) };
  server.SetCopy(SomeRegions(3), now);
  PeerBootstrap starting("b", "tcp://127.0.0.2:1", { "tcp://127.0.0.1:1" });
  for (int step = 0; step < 20; ++step) {
    now += kStep;
    for (const OutgoingEnvelope& ask : starting.OnTick(now)) {
      std::optional<SnapshotAnswer> answer = server.Answer(ask.message.snapshot_ask());
      REQUIRE(answer);
      if (!answer->chunk_digest().empty()) {
        answer->set_chunk("damaged");
      }
      starting.OnAnswer(*answer, now);
    }
  }
  CHECK_FALSE(starting.Take().has_value());
}

TEST_CASE("a replica's revision never decreases, and changes are retained for readers")
{
  Replica replica;
  REQUIRE(replica.Reset(SomeRegions(5)));
  REQUIRE(IsOk(replica.Apply(RegionChange(6, "six"))));
  CHECK_FALSE(replica.Reset(SomeRegions(4)));
  CHECK(replica.Applied() == 6);
  CHECK_FALSE(IsOk(replica.Apply(RegionChange(6, "again"))));
  CHECK_FALSE(IsOk(replica.Apply(RegionChange(8, "gap"))));
  CHECK(replica.Applied() == 6);
  CHECK(ValueOf(replica.ChangesAfter(5, 10)).size() == 1);
  CHECK(ValueOf(replica.ChangesAfter(6, 10)).empty());
  const Result<std::vector<ChangeRecord>> old = replica.ChangesAfter(4, 10);
  REQUIRE_FALSE(IsOk(old));
  CHECK(ErrorOf(old).kind == ErrorKind::kNotFound);
}
