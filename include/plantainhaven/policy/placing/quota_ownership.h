#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/quota_assignment.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::placing {

// A VM's row in the store, as far as the quota is concerned.
struct QuotaVmRow
{
  // 0 if there is no row.
  std::uint64_t version = 0;
  // Era of the store in which the row was written.
  std::uint64_t era = 0;
  std::uint64_t incarnation = 0;
  // A VM that missed this one has said so in the row. Its owner removes that by writing the row.
  bool isSuspected = false;
  // The VM's build keeps to the assignment. Another one owns `range`, whatever the assignment says.
  bool usesAssignment = false;
  QuotaRange range;
};

// What one read of the store shows.
struct QuotaRows
{
  // Era of the store; it rises when the store is restored from an older copy.
  std::uint64_t era = 0;
  // Version of the row that holds the assignment; 0 if there is none.
  std::uint64_t assignmentVersion = 0;
  // Era in which that row was written.
  std::uint64_t assignmentEra = 0;
  // Identifies, within the era, the change that made the assignment anew. Ranges without an owner
  // may then still be granted by VMs that had them before.
  std::uint64_t founding = 0;
  // Not set if the row is missing or was written by a build that knows no assignment.
  std::optional<QuotaAssignment> assignment;
  std::map<std::string, QuotaVmRow> vms;
};

// What this VM knows of another one from its messages.
struct QuotaPeer
{
  std::string name;
  bool isAlive = false;
  // When it was last heard, or first listed if it was never heard.
  BootTime heardAt{};
  bool usesAssignment = false;
  // It is registered and doesn't stop.
  bool isHeir = false;
  // It has been serving for a while, so that its first moments can't cost it the ranges it is
  // given.
  bool isSettled = false;
  // It hears this VM.
  bool hearsSelf = false;
  std::uint64_t era = 0;
  // Ranges whose units it grants at present.
  QuotaRanges granted;
  // VMs that it misses, and VMs that another one misses but that it hears.
  std::vector<std::string> missedVms;
  std::vector<std::string> heardVms;
};

// A transaction on the store.
struct QuotaChange
{
  enum class Kind
  {
    kRegister, // Writes this VM's row, and the assignment if it has to be made or corrected.
    kHandOver, // A VM that stops leaves its ranges to others and removes its row.
    kShare,    // A VM with more than an equal part gives to VMs with little.
    kSuspect,  // Marks rows of VMs that are missed.
    kTakeOver, // Assigns the ranges of suspected VMs to others and removes their rows.
    kClaim,    // Assigns ranges without an owner.
    kSettle,   // Writes the assignment unchanged, so that an earlier write can't take effect.
  };

  Kind kind = Kind::kRegister;
  // Not set if the assignment doesn't change; otherwise its row must have `assignmentVersion`.
  std::optional<QuotaAssignment> assignment;
  std::uint64_t assignmentVersion = 0;
  std::uint64_t founding = 0;
  // Versions that rows of VMs must have; 0 if there must be none.
  std::map<std::string, std::uint64_t> conditions;
  bool writesSelf = false;
  std::vector<std::string> suspects;
  std::vector<std::string> removals;
  // Other VMs that gain ranges. Their rows are written again as they are, so that a row has a new
  // version whenever the ranges of its VM have changed.
  std::vector<std::string> heirs;
};

const char*
ToString(QuotaChange::Kind aKind);

// How a transaction ended.
enum class QuotaWriteResult
{
  kDone,
  kConflict, // A row had another version; nothing was changed.
  kNoEffect, // The store refused the call.
  kUnknown,  // The transaction may have been applied, or may still be.
};

// The units that a VM may grant, and until when.
struct QuotaGrant
{
  QuotaRanges ranges{};
  BootTime validUntil{};
  // The store has just come back from a copy: the lease will be renewed by this time.
  BootTime renewedBy{};

  bool operator==(const QuotaGrant&) const = default;
};

// One VM's view of who owns the quota. The assignment in the store says who owns a range; every
// change of it is a transaction. A VM grants the units of its ranges while it has a lease: for
// kLease after the store last showed that it owns them. So a VM that was missed for longer can
// be replaced as the owner without its consent. Not thread-safe; reads no clock.
class QuotaOwnership
{
public:
  // Length of a lease. VMs that the platform cuts off from the store for up to 12 s keep theirs.
  static constexpr std::chrono::milliseconds kLease{ 15000 };
  // The ranges of a suspected VM are taken over after this time: a lease and the longest delay
  // until a thread notices that it has ended.
  static constexpr std::chrono::milliseconds kTakeOverDelay{ 17000 };
  // A VM without a lease goes on for this long after the last one began if it and the VMs that it
  // hears grant more than half of the ring. VMs that own less than half wait longer to take over.
  static constexpr std::chrono::milliseconds kMajorityLease{ 60000 };
  static constexpr std::chrono::milliseconds kMinorityTakeOverDelay{ 65000 };
  // A VM that is silent for this long is missed. Most that end are back by then.
  static constexpr std::chrono::milliseconds kMissedAfter{ 5000 };
  // Builds without leases grant units as long as they run.
  static constexpr std::chrono::milliseconds kUnleasedMissedAfter{ 120000 };
  // The store is read when ownership was last shown longer ago than this, and at least at the
  // second interval.
  static constexpr std::chrono::milliseconds kRenewAfter{ 5000 };
  static constexpr std::chrono::milliseconds kReadInterval{ 15000 };
  // VMs act on the absence of others in the order of their names, the first one at once.
  static constexpr std::chrono::milliseconds kStandInDelay{ 3000 };

  QuotaOwnership(std::string aSelf, std::uint64_t aIncarnation);
  ~QuotaOwnership();
  QuotaOwnership(const QuotaOwnership&) = delete;
  QuotaOwnership& operator=(const QuotaOwnership&) = delete;

  // Records the era of the store, as read or as another VM tells it.
  void OnEra(std::uint64_t aEra, BootTime aNow);
  // Records the rows of a read that began at `aBegunAt`. Returns false if they are of an older era.
  bool OnRead(const QuotaRows& aRows, BootTime aBegunAt, BootTime aNow);
  // Records that another VM's read, which began after `aShownAt`, showed this VM's row in this
  // version.
  void OnShown(std::uint64_t aEra, std::uint64_t aRowVersion, BootTime aShownAt);
  // Records what other VMs have told. To be called several times a second.
  void OnPeers(std::vector<QuotaPeer> aPeers, BootTime aNow);
  // Makes a read due, since another VM has changed the ranges of this one or rows are missing.
  void RequestRead();
  // Begins to leave the ranges of this VM to others.
  void BeginStop();

  // Returns the next transaction, if one is due. While it is under way, what it gives away isn't
  // granted.
  std::optional<QuotaChange> NextChange(BootTime aNow);
  // Records the end of a transaction that began at `aBegunAt`. `aVersion` is that of the rows
  // written.
  void OnWritten(const QuotaChange& aChange,
                 QuotaWriteResult aResult,
                 std::uint64_t aVersion,
                 BootTime aBegunAt,
                 BootTime aNow);

  // The units that this VM may grant now.
  QuotaGrant Grant(BootTime aNow) const;
  // Whether the store must be read before anything else can be decided, or to renew the lease.
  bool NeedsRead(BootTime aNow) const;
  // Whether this process has written its row.
  bool IsRegistered() const;
  // Whether a VM that stops has nothing left to give away, or nobody to give it to.
  bool IsHandedOver() const;
  // Version of this VM's row; 0 if it isn't known to have one.
  std::uint64_t RowVersion() const;
  std::uint64_t Era() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven::placing
