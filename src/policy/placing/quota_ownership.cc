#include "plantainhaven/policy/placing/quota_ownership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace plantainhaven::placing {
namespace {

// Time in which a VM that reaches the store has renewed its lease in a new era.
constexpr std::chrono::milliseconds kRenewalTime{ 1500 };
// The first era of a store; a later one means that it was once restored from a copy.
constexpr std::uint64_t kFirstEra = 1;
// What other VMs have told counts for this long.
constexpr std::chrono::milliseconds kPeersValidity{ 2000 };
// A transaction alters at most this many rows of VMs that are missed and of VMs that gain ranges,
// within the store's limit.
constexpr std::size_t kMaxMissed = 20;
constexpr std::size_t kMaxHeirs = 25;
constexpr int kMaxRank = 4;
// Shortest time between two reads that a VM without a known row causes.
constexpr std::chrono::milliseconds kMinReadInterval{ 1000 };

bool
HasName(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// Whether a row was written in the era of the read.
bool
IsCurrent(const QuotaRows& aRows, std::uint64_t aRowEra)
{
  return aRows.era <= kFirstEra || aRowEra == aRows.era;
}

// Brings the assignment in line with the rows of builds that know none, which own the range in
// their row and may write one into the row of another VM.
void
AdoptRowRanges(const QuotaRows& aRows, QuotaAssignment& aAssignment)
{
  for (const auto& [vm, row] : aRows.vms) {
    const QuotaRanges range = Merged({ row.range });
    const bool isCurrent = IsCurrent(aRows, row.era);
    const QuotaRanges owned = aAssignment.RangesOf(vm);
    if (!row.usesAssignment && isCurrent && owned != range) {
      aAssignment.Release(owned);
      aAssignment.Assign(range, vm);
    } else if (row.usesAssignment && isCurrent && !Without(range, owned).empty()) {
      aAssignment.Assign(range, vm);
    }
  }
}

} // namespace

const char*
ToString(QuotaChange::Kind aKind)
{
  constexpr const char* kNames[] = { "register",  "hand_over", "share", "suspect",
                                     "take_over", "claim",     "settle" };
  return kNames[static_cast<std::size_t>(aKind)];
}

struct QuotaOwnership::Impl
{
  // A VM whose row is marked, or that owns ranges and has no row.
  struct Suspect
  {
    std::uint64_t rowVersion = 0;
    // Since when the row has been so and no VM has heard it.
    BootTime since{};
  };
  using Step = std::optional<QuotaChange> (Impl::*)(BootTime);

  const QuotaVmRow* OwnRow() const;
  bool IsOwnRowInForce() const;
  bool IsAssignmentInForce() const;
  bool HasLease(BootTime aNow) const;
  // Prolongs a lease that hasn't ended, if most of the ring is granted by VMs that hear this one.
  void ProlongLease();
  // Records that the store showed this VM's ranges after `aShownAt`.
  void RenewLease(BootTime aShownAt);
  bool IsMissed(const QuotaPeer& aPeer, BootTime aNow) const;
  bool IsHeardByOthers(const std::string& aVm) const;
  // How long this VM leaves the absence of others to VMs before it.
  std::chrono::milliseconds StandInDelay() const;
  std::chrono::milliseconds TakeOverDelayFor(const std::string& aVm) const;
  bool IsTakeOverDue(const std::string& aVm, const Suspect& aSuspect, BootTime aNow) const;
  // Those that own least, as many as a transaction can name.
  std::vector<std::string> LeastOwners(std::vector<std::string> aVms) const;
  // VMs that may be given ranges, this one included unless it stops; those that own least if there
  // are many.
  std::vector<std::string> Heirs() const;
  // The assignment that must replace the one in the store: it is missing, of an older era or
  // contradicts rows.
  std::optional<QuotaAssignment> Correction(BootTime aNow) const;
  QuotaChange MakeChange(QuotaChange::Kind aKind) const;
  // Sets the new assignment, and the VMs that gain ranges by it.
  void SetAssignment(QuotaChange& aChange, QuotaAssignment aAssignment) const;
  void Withhold(const QuotaRanges& aRanges);
  void TrackSuspects(BootTime aNow);
  void ApplyDone(const QuotaChange& aChange, std::uint64_t aVersion, BootTime aNow);

  std::optional<QuotaChange> Register(BootTime aNow);
  std::optional<QuotaChange> HandOver(BootTime aNow);
  std::optional<QuotaChange> Settle(BootTime aNow);
  std::optional<QuotaChange> Share(BootTime aNow);
  std::optional<QuotaChange> SuspectMissed(BootTime aNow);
  std::optional<QuotaChange> TakeOver(BootTime aNow);
  std::optional<QuotaChange> Claim(BootTime aNow);

  std::string self;
  std::uint64_t incarnation = 0;
  std::uint64_t era = 0;
  BootTime eraAt{};
  // The last read with the changes made since.
  QuotaRows rows;
  // False when the rows in the store may differ from `rows` because of a write.
  bool hasRows = false;
  bool isReadDue = true;
  BootTime readAt{};
  bool isRegistered = false;
  bool isStopping = false;
  bool isHandedOver = false;
  // The ranges of this VM as last known, in which era, and when that was last shown.
  QuotaRanges owned;
  std::uint64_t ownedEra = 0;
  BootTime shownAt{};
  BootTime leaseEnd{};
  // Ranges of `owned` that a write under way, or one without an answer, gives away.
  QuotaRanges withheld;
  // The version of the assignment that a write without an answer replaces; as long as the row has
  // it, that write may still be applied.
  std::optional<std::uint64_t> unsettledVersion;
  std::vector<QuotaPeer> peers;
  BootTime peersAt{};
  std::map<std::string, Suspect> suspects;
  // Since when ranges without an owner have been seen, and in which assignment.
  std::optional<BootTime> unownedSince;
  std::uint64_t unownedFounding = 0;
};

const QuotaVmRow*
QuotaOwnership::Impl::OwnRow() const
{
  const auto found = this->rows.vms.find(this->self);
  return found == this->rows.vms.end() ? nullptr : &found->second;
}

bool
QuotaOwnership::Impl::IsOwnRowInForce() const
{
  const QuotaVmRow* const row = this->OwnRow();
  return row != nullptr && row->incarnation == this->incarnation && row->usesAssignment &&
         !row->isSuspected && row->range.IsEmpty() && IsCurrent(this->rows, row->era);
}

bool
QuotaOwnership::Impl::IsAssignmentInForce() const
{
  return this->rows.assignment && IsCurrent(this->rows, this->rows.assignmentEra);
}

bool
QuotaOwnership::Impl::HasLease(BootTime aNow) const
{
  return this->isRegistered && aNow < this->shownAt + kLease;
}

void
QuotaOwnership::Impl::RenewLease(BootTime aShownAt)
{
  this->shownAt = std::max(this->shownAt, aShownAt);
  this->leaseEnd = std::max(this->leaseEnd, this->shownAt + kLease);
}

void
QuotaOwnership::Impl::ProlongLease()
{
  if (this->peersAt >= this->leaseEnd) {
    return;
  }
  std::uint64_t granted = TotalLength(this->owned);
  bool isHeard = false;
  for (const QuotaPeer& peer : this->peers) {
    if (peer.isAlive && peer.hearsSelf && peer.usesAssignment && peer.era == this->era) {
      isHeard = true;
      granted += TotalLength(Without(peer.granted, this->owned));
    }
  }
  const BootTime until = this->peersAt + kPeersValidity;
  if (granted >= kQuotaRingSize) {
    this->leaseEnd = std::max(this->leaseEnd, until);
  } else if (isHeard && 2 * granted > kQuotaRingSize) {
    this->leaseEnd = std::max(this->leaseEnd, std::min(until, this->shownAt + kMajorityLease));
  }
}

bool
QuotaOwnership::Impl::IsMissed(const QuotaPeer& aPeer, BootTime aNow) const
{
  const auto missedAfter = aPeer.usesAssignment ? kMissedAfter : kUnleasedMissedAfter;
  return !aPeer.isAlive && aNow - aPeer.heardAt >= missedAfter;
}

bool
QuotaOwnership::Impl::IsHeardByOthers(const std::string& aVm) const
{
  return std::any_of(this->peers.begin(), this->peers.end(), [&aVm](const QuotaPeer& aPeer) {
    return aPeer.isAlive && (aPeer.name == aVm || HasName(aPeer.heardVms, aVm));
  });
}

std::chrono::milliseconds
QuotaOwnership::Impl::StandInDelay() const
{
  const auto before =
    std::count_if(this->peers.begin(), this->peers.end(), [this](const QuotaPeer& aPeer) {
      return aPeer.isAlive && aPeer.isHeir && aPeer.usesAssignment && aPeer.name < this->self;
    });
  return std::min(static_cast<int>(before), kMaxRank) * kStandInDelay;
}

// A VM that goes on without the store is heard by VMs that own more than half of the ring. So those
// that miss it own less than half, or it has stopped granting.
std::chrono::milliseconds
QuotaOwnership::Impl::TakeOverDelayFor(const std::string& aVm) const
{
  std::uint64_t length = this->rows.assignment->LengthOf(this->self);
  for (const QuotaPeer& peer : this->peers) {
    if (peer.isAlive && peer.usesAssignment && HasName(peer.missedVms, aVm)) {
      length += this->rows.assignment->LengthOf(peer.name);
    }
  }
  return 2 * length >= kQuotaRingSize ? kTakeOverDelay : kMinorityTakeOverDelay;
}

bool
QuotaOwnership::Impl::IsTakeOverDue(const std::string& aVm,
                                    const Suspect& aSuspect,
                                    BootTime aNow) const
{
  return aNow - aSuspect.since >= this->TakeOverDelayFor(aVm) + this->StandInDelay();
}

std::vector<std::string>
QuotaOwnership::Impl::LeastOwners(std::vector<std::string> aVms) const
{
  std::sort(aVms.begin(), aVms.end(), [this](const auto& aLeft, const auto& aRight) {
    return std::pair(this->rows.assignment->LengthOf(aLeft), aLeft) <
           std::pair(this->rows.assignment->LengthOf(aRight), aRight);
  });
  aVms.resize(std::min(aVms.size(), kMaxHeirs));
  return aVms;
}

std::vector<std::string>
QuotaOwnership::Impl::Heirs() const
{
  std::vector<std::string> heirs;
  std::vector<std::string> unsettled;
  for (const QuotaPeer& peer : this->peers) {
    const auto row = this->rows.vms.find(peer.name);
    if (peer.isAlive && peer.isHeir && peer.usesAssignment && row != this->rows.vms.end() &&
        !row->second.isSuspected) {
      (peer.isSettled ? heirs : unsettled).push_back(peer.name);
    }
  }
  if (!this->isStopping) {
    heirs.push_back(this->self);
  }
  if (heirs.empty()) {
    heirs = std::move(unsettled);
  }
  return this->LeastOwners(std::move(heirs));
}

std::optional<QuotaAssignment>
QuotaOwnership::Impl::Correction(BootTime aNow) const
{
  const bool isInForce = this->IsAssignmentInForce();
  const bool isFirstVm = this->rows.vms.empty() && this->rows.assignmentVersion == 0;
  if (isFirstVm && this->rows.era <= kFirstEra) {
    return QuotaAssignment::Whole(this->self);
  }
  QuotaAssignment corrected = isInForce ? *this->rows.assignment : QuotaAssignment();
  AdoptRowRanges(this->rows, corrected);
  const bool isMemoryNewer = !isInForce || this->ownedEra != this->era;
  if (isMemoryNewer && this->HasLease(aNow)) {
    corrected.Assign(Common(Without(this->owned, this->withheld), corrected.Unowned()), this->self);
  }
  if (isInForce && corrected == *this->rows.assignment) {
    return std::nullopt;
  }
  return corrected;
}

QuotaChange
QuotaOwnership::Impl::MakeChange(QuotaChange::Kind aKind) const
{
  QuotaChange change;
  change.kind = aKind;
  change.assignmentVersion = this->rows.assignmentVersion;
  change.founding = this->rows.founding;
  const QuotaVmRow* const row = this->OwnRow();
  // Once this process has written its row, writes of an earlier one can't be applied any more.
  change.conditions[this->self] = row == nullptr ? 0 : row->version;
  return change;
}

void
QuotaOwnership::Impl::SetAssignment(QuotaChange& aChange, QuotaAssignment aAssignment) const
{
  for (const auto& [vm, ranges] : aAssignment.Owners()) {
    const bool gains = !Without(ranges, this->rows.assignment->RangesOf(vm)).empty();
    if (vm != this->self && gains) {
      const auto row = this->rows.vms.find(vm);
      aChange.heirs.push_back(vm);
      aChange.conditions.emplace(vm, row == this->rows.vms.end() ? 0 : row->second.version);
    }
  }
  aChange.assignment = std::move(aAssignment);
}

void
QuotaOwnership::Impl::Withhold(const QuotaRanges& aRanges)
{
  QuotaRanges all = this->withheld;
  all.insert(all.end(), aRanges.begin(), aRanges.end());
  this->withheld = Merged(std::move(all));
}

std::optional<QuotaChange>
QuotaOwnership::Impl::Register(BootTime aNow)
{
  const std::optional<QuotaAssignment> correction = this->Correction(aNow);
  const bool isInForce = this->isRegistered && this->IsOwnRowInForce() && !correction;
  if (isInForce || (this->isStopping && !this->isRegistered)) {
    return std::nullopt;
  }
  QuotaChange change = this->MakeChange(QuotaChange::Kind::kRegister);
  change.writesSelf = true;
  change.assignment = correction;
  if (!this->IsAssignmentInForce()) {
    change.founding = this->rows.assignmentVersion + 1;
  }
  return change;
}

std::optional<QuotaChange>
QuotaOwnership::Impl::HandOver(BootTime)
{
  const std::vector<std::string> heirs = this->Heirs();
  if (!this->isStopping || this->isHandedOver || heirs.empty()) {
    return std::nullopt;
  }
  QuotaChange change = this->MakeChange(QuotaChange::Kind::kHandOver);
  change.removals.push_back(this->self);
  const QuotaRanges ranges = this->rows.assignment->RangesOf(this->self);
  if (!ranges.empty()) {
    QuotaAssignment next = *this->rows.assignment;
    next.Distribute(ranges, heirs);
    this->SetAssignment(change, std::move(next));
    this->Withhold(ranges);
  }
  return change;
}

std::optional<QuotaChange>
QuotaOwnership::Impl::Settle(BootTime)
{
  if (!this->unsettledVersion || *this->unsettledVersion != this->rows.assignmentVersion) {
    return std::nullopt;
  }
  QuotaChange change = this->MakeChange(QuotaChange::Kind::kSettle);
  change.assignment = this->rows.assignment;
  return change;
}

std::optional<QuotaChange>
QuotaOwnership::Impl::Share(BootTime aNow)
{
  std::set<std::string> vms{ this->self };
  std::vector<std::string> receivers;
  for (const auto& [vm, row] : this->rows.vms) {
    if (row.usesAssignment && !row.isSuspected) {
      vms.insert(vm);
    }
  }
  for (const QuotaPeer& peer : this->peers) {
    const auto row = this->rows.vms.find(peer.name);
    const bool isSuspected = row != this->rows.vms.end() && row->second.isSuspected;
    if (peer.isAlive && peer.isHeir && peer.usesAssignment && !isSuspected) {
      vms.insert(peer.name);
      if (peer.isSettled) {
        receivers.push_back(peer.name);
      }
    }
  }
  QuotaAssignment next = *this->rows.assignment;
  const QuotaRanges given = next.Share(this->self, this->LeastOwners(receivers), vms.size());
  if (this->isStopping || given.empty()) {
    return std::nullopt;
  }
  QuotaChange change = this->MakeChange(QuotaChange::Kind::kShare);
  this->SetAssignment(change, std::move(next));
  const bool knowsRows =
    std::all_of(change.heirs.begin(), change.heirs.end(), [this](const std::string& aVm) {
      return this->rows.vms.contains(aVm);
    });
  if (!knowsRows) {
    this->isReadDue = this->isReadDue || aNow - this->readAt >= kMinReadInterval;
    return std::nullopt;
  }
  this->Withhold(given);
  return change;
}

std::optional<QuotaChange>
QuotaOwnership::Impl::SuspectMissed(BootTime aNow)
{
  QuotaChange change = this->MakeChange(QuotaChange::Kind::kSuspect);
  for (const QuotaPeer& peer : this->peers) {
    const auto row = this->rows.vms.find(peer.name);
    if (row == this->rows.vms.end() || row->second.isSuspected ||
        !this->IsMissed(peer, aNow - this->StandInDelay()) || this->IsHeardByOthers(peer.name) ||
        change.suspects.size() == kMaxMissed) {
      continue;
    }
    change.suspects.push_back(peer.name);
    change.conditions[peer.name] = row->second.version;
  }
  return this->isStopping || change.suspects.empty() ? std::nullopt : std::optional(change);
}

std::optional<QuotaChange>
QuotaOwnership::Impl::TakeOver(BootTime aNow)
{
  QuotaChange change = this->MakeChange(QuotaChange::Kind::kTakeOver);
  QuotaAssignment next = *this->rows.assignment;
  std::size_t count = 0;
  for (const auto& [vm, suspect] : this->suspects) {
    if (this->isStopping || !this->IsTakeOverDue(vm, suspect, aNow) || count == kMaxMissed) {
      continue;
    }
    ++count;
    next.Distribute(next.RangesOf(vm), this->Heirs());
    change.conditions[vm] = suspect.rowVersion;
    if (suspect.rowVersion != 0) {
      change.removals.push_back(vm);
    }
  }
  if (count == 0) {
    return std::nullopt;
  }
  if (next != *this->rows.assignment) {
    this->SetAssignment(change, std::move(next));
  }
  return change;
}

std::optional<QuotaChange>
QuotaOwnership::Impl::Claim(BootTime aNow)
{
  if (this->isStopping || !this->unownedSince ||
      aNow - *this->unownedSince < kTakeOverDelay + this->StandInDelay()) {
    return std::nullopt;
  }
  QuotaAssignment next = *this->rows.assignment;
  next.Distribute(next.Unowned(), this->Heirs());
  QuotaChange change = this->MakeChange(QuotaChange::Kind::kClaim);
  this->SetAssignment(change, std::move(next));
  return change;
}

void
QuotaOwnership::Impl::TrackSuspects(BootTime aNow)
{
  std::map<std::string, std::uint64_t> current;
  for (const auto& [vm, row] : this->rows.vms) {
    if (row.isSuspected && vm != this->self) {
      current[vm] = row.version;
    }
  }
  const bool isInForce = this->IsAssignmentInForce();
  if (isInForce) {
    for (const auto& [vm, ranges] : this->rows.assignment->Owners()) {
      if (!this->rows.vms.contains(vm) && vm != this->self) {
        current[vm] = 0;
      }
    }
  }
  std::erase_if(this->suspects, [&current](const auto& aEntry) {
    const auto found = current.find(aEntry.first);
    return found == current.end() || found->second != aEntry.second.rowVersion;
  });
  for (const auto& [vm, version] : current) {
    this->suspects.try_emplace(vm, Suspect{ version, aNow });
  }
  if (!isInForce || this->rows.assignment->Unowned().empty()) {
    this->unownedSince.reset();
  } else if (!this->unownedSince || this->unownedFounding != this->rows.founding) {
    this->unownedSince = aNow;
    this->unownedFounding = this->rows.founding;
  }
}

void
QuotaOwnership::Impl::ApplyDone(const QuotaChange& aChange, std::uint64_t aVersion, BootTime aNow)
{
  if (aChange.assignment) {
    this->rows.assignment = aChange.assignment;
    this->rows.assignmentVersion = aVersion;
    this->rows.assignmentEra = this->rows.era;
    this->rows.founding = aChange.founding;
  }
  if (aChange.writesSelf) {
    QuotaVmRow& row = this->rows.vms[this->self];
    row = QuotaVmRow();
    row.version = aVersion;
    row.era = this->rows.era;
    row.incarnation = this->incarnation;
    row.usesAssignment = true;
    this->isRegistered = true;
  }
  for (const std::string& vm : aChange.heirs) {
    this->rows.vms[vm].version = aVersion;
  }
  for (const std::string& vm : aChange.suspects) {
    this->rows.vms[vm].isSuspected = true;
    this->rows.vms[vm].version = aVersion;
  }
  for (const std::string& vm : aChange.removals) {
    this->rows.vms.erase(vm);
  }
  this->isHandedOver = this->isHandedOver || aChange.kind == QuotaChange::Kind::kHandOver;
  this->TrackSuspects(aNow);
}

QuotaOwnership::QuotaOwnership(std::string aSelf, std::uint64_t aIncarnation)
  : impl(std::make_unique<Impl>())
{
  this->impl->self = std::move(aSelf);
  this->impl->incarnation = aIncarnation;
}

QuotaOwnership::~QuotaOwnership() = default;

void
QuotaOwnership::OnEra(std::uint64_t aEra, BootTime aNow)
{
  Impl& state = *this->impl;
  if (aEra <= state.era) {
    return;
  }
  state.era = aEra;
  state.eraAt = aNow;
  state.hasRows = false;
  state.isReadDue = true;
  // What was being given away may have reached its new owner.
  state.owned = Without(state.owned, state.withheld);
  state.withheld.clear();
  state.unsettledVersion.reset();
  state.suspects.clear();
  state.unownedSince.reset();
}

bool
QuotaOwnership::OnRead(const QuotaRows& aRows, BootTime aBegunAt, BootTime aNow)
{
  Impl& state = *this->impl;
  this->OnEra(aRows.era, aNow);
  if (aRows.era < state.era) {
    return false;
  }
  state.rows = aRows;
  state.hasRows = true;
  state.isReadDue = false;
  state.readAt = aBegunAt;
  if (state.unsettledVersion && *state.unsettledVersion != aRows.assignmentVersion) {
    state.unsettledVersion.reset();
    state.withheld.clear();
  }
  if (state.isRegistered && state.IsAssignmentInForce()) {
    const QuotaRanges assigned = aRows.assignment->RangesOf(state.self);
    if (state.IsOwnRowInForce()) {
      state.owned = assigned;
      state.ownedEra = state.era;
      state.RenewLease(aBegunAt);
    } else if (state.ownedEra == state.era) {
      state.owned = Common(state.owned, assigned);
      state.isHandedOver = state.isStopping && state.OwnRow() == nullptr && assigned.empty();
    }
  }
  state.TrackSuspects(aNow);
  return true;
}

void
QuotaOwnership::OnShown(std::uint64_t aEra, std::uint64_t aRowVersion, BootTime aShownAt)
{
  Impl& state = *this->impl;
  if (!state.isRegistered || state.ownedEra != state.era || aEra != state.era ||
      aShownAt <= state.shownAt) {
    return;
  }
  if (aRowVersion == this->RowVersion() && state.IsOwnRowInForce()) {
    state.RenewLease(aShownAt);
  } else if (aShownAt > state.readAt) {
    state.isReadDue = true;
  }
}

void
QuotaOwnership::OnPeers(std::vector<QuotaPeer> aPeers, BootTime aNow)
{
  Impl& state = *this->impl;
  const bool wasSuspended = aNow - state.peersAt > kPeersValidity;
  state.peers = std::move(aPeers);
  state.peersAt = aNow;
  state.ProlongLease();
  for (auto& [vm, suspect] : state.suspects) {
    if (wasSuspended || state.IsHeardByOthers(vm)) {
      suspect.since = aNow;
    }
  }
}

void
QuotaOwnership::RequestRead()
{
  this->impl->isReadDue = true;
}

void
QuotaOwnership::BeginStop()
{
  this->impl->isStopping = true;
  this->impl->hasRows = false;
}

std::optional<QuotaChange>
QuotaOwnership::NextChange(BootTime aNow)
{
  constexpr Impl::Step kSteps[] = { &Impl::HandOver, &Impl::Settle, &Impl::Share,
                                    &Impl::TakeOver, &Impl::Claim,  &Impl::SuspectMissed };
  Impl& state = *this->impl;
  if (!state.hasRows || state.isHandedOver) {
    return std::nullopt;
  }
  if (auto change = state.Register(aNow)) {
    return change;
  }
  if (!state.isRegistered || !state.IsAssignmentInForce()) {
    return std::nullopt;
  }
  for (const Impl::Step step : kSteps) {
    if (auto change = (state.*step)(aNow)) {
      return change;
    }
  }
  return std::nullopt;
}

void
QuotaOwnership::OnWritten(const QuotaChange& aChange,
                          QuotaWriteResult aResult,
                          std::uint64_t aVersion,
                          BootTime aBegunAt,
                          BootTime aNow)
{
  Impl& state = *this->impl;
  const bool givesAway =
    aChange.kind == QuotaChange::Kind::kHandOver || aChange.kind == QuotaChange::Kind::kShare;
  if (aResult == QuotaWriteResult::kUnknown && givesAway && aChange.assignment) {
    state.unsettledVersion = aChange.assignmentVersion;
  }
  if (aResult != QuotaWriteResult::kDone) {
    state.hasRows = state.hasRows && aResult == QuotaWriteResult::kNoEffect;
    state.isReadDue = state.isReadDue || !state.hasRows;
    if (!state.unsettledVersion) {
      state.withheld.clear();
    }
    return;
  }
  if (!state.hasRows) {
    // The store went back to a copy while the answer was on its way.
    return;
  }
  if (aChange.assignment) {
    state.unsettledVersion.reset();
    state.withheld.clear();
  }
  state.ApplyDone(aChange, aVersion, aNow);
  if (state.IsAssignmentInForce() && state.isRegistered) {
    state.owned = state.isHandedOver ? QuotaRanges() : state.rows.assignment->RangesOf(state.self);
    state.ownedEra = state.era;
    state.RenewLease(aBegunAt);
  }
}

QuotaGrant
QuotaOwnership::Grant(BootTime) const
{
  const Impl& state = *this->impl;
  if (!state.isRegistered) {
    return {};
  }
  if (state.ownedEra != state.era) {
    return { .renewedBy = state.eraAt + kRenewalTime };
  }
  return { .ranges = Without(state.owned, state.withheld), .validUntil = state.leaseEnd };
}

bool
QuotaOwnership::NeedsRead(BootTime aNow) const
{
  const Impl& state = *this->impl;
  return !state.hasRows || state.isReadDue || aNow - state.readAt >= kReadInterval ||
         (state.isRegistered && aNow - state.shownAt >= kRenewAfter &&
          aNow - state.readAt >= kRenewAfter);
}

bool
QuotaOwnership::IsRegistered() const
{
  return this->impl->isRegistered;
}

bool
QuotaOwnership::IsHandedOver() const
{
  const Impl& state = *this->impl;
  return state.isHandedOver ||
         (state.isStopping &&
          (!state.isRegistered ||
           (state.hasRows && state.IsAssignmentInForce() && state.Heirs().empty())));
}

std::uint64_t
QuotaOwnership::RowVersion() const
{
  const QuotaVmRow* const row = this->impl->OwnRow();
  return row == nullptr ? 0 : row->version;
}

std::uint64_t
QuotaOwnership::Era() const
{
  return this->impl->era;
}

} // namespace plantainhaven::placing
