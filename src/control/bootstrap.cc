#include "plantainhaven/control/bootstrap.h"

#include "plantainhaven/common/digest.h"

#include <unordered_map>
#include <utility>

namespace plantainhaven {

namespace {

struct WantedChunk
{
  std::string digest;
  std::string bytes;
  bool received = false;
  bool asked = false;
  BootTime askedAt{};
};

} // namespace

struct PeerBootstrap::Impl
{
  std::string self;
  std::string replyTo;
  std::vector<std::string> peers;
  std::size_t current = 0;
  bool started = false;
  bool taken = false;
  BootTime lastResponseAt{};
  BootTime manifestAskedAt{};
  std::optional<SnapshotManifest> manifest;
  std::vector<WantedChunk> chunks;
  std::size_t missing = 0;

  OutgoingEnvelope Ask(const std::string& aDigest) const
  {
    OutgoingEnvelope outgoing;
    outgoing.endpoint = this->peers[this->current];
    outgoing.message.set_version(1);
    outgoing.message.set_from(this->self);
    outgoing.message.set_reply_to(this->replyTo);
    outgoing.message.mutable_snapshot_ask()->set_chunk_digest(aDigest);
    return outgoing;
  }

  void FailOver(BootTime aNow)
  {
    this->current = (this->current + 1) % this->peers.size();
    this->lastResponseAt = aNow;
    this->manifest.reset();
    this->manifestAskedAt = BootTime{};
    this->chunks.clear();
  }

  void RequestChunks(BootTime aNow, std::vector<OutgoingEnvelope>& aOut)
  {
    std::size_t inFlight = 0;
    for (WantedChunk& chunk : this->chunks) {
      if (chunk.received || inFlight >= kMaxRequestsInFlight) {
        continue;
      }
      ++inFlight;
      if (chunk.asked && aNow - chunk.askedAt < kRequestTimeout) {
        continue;
      }
      chunk.asked = true;
      chunk.askedAt = aNow;
      aOut.push_back(this->Ask(chunk.digest));
    }
  }

  void SetManifest(const SnapshotManifest& aManifest)
  {
    this->manifest = aManifest;
    this->chunks.clear();
    for (const std::string& digest : aManifest.chunk_digests()) {
      this->chunks.push_back(WantedChunk{ digest, {}, false, false, {} });
    }
    this->missing = this->chunks.size();
  }

  void SetChunk(const SnapshotAnswer& aAnswer)
  {
    if (Sha256Hex(aAnswer.chunk()) != aAnswer.chunk_digest()) {
      return;
    }
    for (WantedChunk& chunk : this->chunks) {
      if (chunk.digest == aAnswer.chunk_digest() && !chunk.received) {
        chunk.bytes = aAnswer.chunk();
        chunk.received = true;
        --this->missing;
        return;
      }
    }
  }
};

PeerBootstrap::PeerBootstrap(std::string aSelf,
                             std::string aReplyTo,
                             std::vector<std::string> aPeers)
  : impl(std::make_unique<Impl>())
{
  this->impl->self = std::move(aSelf);
  this->impl->replyTo = std::move(aReplyTo);
  this->impl->peers = std::move(aPeers);
}

PeerBootstrap::~PeerBootstrap() = default;

std::vector<OutgoingEnvelope>
PeerBootstrap::OnTick(BootTime aNow)
{
  std::vector<OutgoingEnvelope> out;
  if (this->impl->peers.empty() || this->impl->taken) {
    return out;
  }
  if (!this->impl->started) {
    this->impl->started = true;
    this->impl->lastResponseAt = aNow;
  }
  if (aNow - this->impl->lastResponseAt >= kPeerTimeout) {
    this->impl->FailOver(aNow);
  }
  if (this->impl->manifest) {
    this->impl->RequestChunks(aNow, out);
    return out;
  }
  if (this->impl->manifestAskedAt == BootTime{} ||
      aNow - this->impl->manifestAskedAt >= kRequestTimeout) {
    this->impl->manifestAskedAt = aNow;
    out.push_back(this->impl->Ask(""));
  }
  return out;
}

void
PeerBootstrap::OnAnswer(const SnapshotAnswer& aAnswer, BootTime aNow)
{
  if (this->impl->taken) {
    return;
  }
  this->impl->lastResponseAt = aNow;
  if (!aAnswer.chunk_digest().empty()) {
    this->impl->SetChunk(aAnswer);
    return;
  }
  if (!this->impl->manifest) {
    this->impl->SetManifest(aAnswer.manifest());
  }
}

std::optional<Configuration>
PeerBootstrap::Take()
{
  if (this->impl->taken || !this->impl->manifest || this->impl->missing > 0) {
    return std::nullopt;
  }
  std::vector<std::string> bytes;
  for (WantedChunk& chunk : this->impl->chunks) {
    bytes.push_back(std::move(chunk.bytes));
  }
  Result<Configuration> built = Configuration::FromChunks(this->impl->manifest->revision(), bytes);
  if (!IsOk(built)) {
    this->impl->manifest.reset();
    this->impl->chunks.clear();
    return std::nullopt;
  }
  this->impl->taken = true;
  return std::move(ValueOf(built));
}

struct SnapshotServer::Impl
{
  bool hasCopy = false;
  BootTime copiedAt{};
  SnapshotManifest manifest;
  std::unordered_map<std::string, std::string> chunks;
};

SnapshotServer::SnapshotServer()
  : impl(std::make_unique<Impl>())
{
}

SnapshotServer::~SnapshotServer() = default;

bool
SnapshotServer::NeedsCopy(BootTime aNow) const
{
  return !this->impl->hasCopy || aNow - this->impl->copiedAt >= kMaxCopyAge;
}

void
SnapshotServer::SetCopy(const Configuration& aConfiguration, BootTime aNow)
{
  this->impl->hasCopy = true;
  this->impl->copiedAt = aNow;
  this->impl->manifest.Clear();
  this->impl->chunks.clear();
  this->impl->manifest.set_revision(aConfiguration.AppliedRevision());
  for (std::string& chunk : aConfiguration.ToChunks()) {
    std::string digest = Sha256Hex(chunk);
    this->impl->manifest.add_chunk_digests(digest);
    this->impl->chunks[std::move(digest)] = std::move(chunk);
  }
}

std::optional<SnapshotAnswer>
SnapshotServer::Answer(const SnapshotAsk& aAsk) const
{
  if (!this->impl->hasCopy) {
    return std::nullopt;
  }
  SnapshotAnswer answer;
  if (aAsk.chunk_digest().empty()) {
    *answer.mutable_manifest() = this->impl->manifest;
    return answer;
  }
  const auto found = this->impl->chunks.find(aAsk.chunk_digest());
  if (found == this->impl->chunks.end()) {
    return std::nullopt;
  }
  answer.set_chunk_digest(found->first);
  answer.set_chunk(found->second);
  return answer;
}

} // namespace plantainhaven
