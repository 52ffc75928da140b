#pragma once

#include "plantainhaven/platform/platform.h"

#include <chrono>
#include <memory>
#include <string>

namespace plantainhaven {

// The platform's three services in memory, with the faults that the real ones show.
// The platform stand-in serves this over HTTP; tests use it directly. Safe for
// several threads.
class MemoryPlatform
  : public TableStore
  , public ObjectStore
  , public VmList
{
public:
  MemoryPlatform();
  ~MemoryPlatform() override;

  Result<TableCommitAnswer> Commit(const TableTransaction& aTransaction) override;
  Result<TableRow> Read(const std::string& aKey) override;
  Result<TableReadAnswer> ReadPrefix(const std::string& aPrefix,
                                     const std::string& aAfter,
                                     std::size_t aLimit) override;
  Result<Done> Put(const std::string& aName, const std::string& aBytes) override;
  Result<std::string> Get(const std::string& aName) override;
  Result<Done> Delete(const std::string& aName) override;
  Result<VmListAnswer> List() override;

  // Sets the faults; a default message ends them. The delays are kept for the HTTP
  // stand-in to apply, and aren't slept here. While commits are to be delayed, each
  // is held, is answered kUnknown and waits for ReleaseHeldCommits().
  void SetFault(const PlatformFault& aFault);
  PlatformFault Fault() const;
  // Carries out the commits that the fault delay_commits held, in their order; their
  // conditions are checked now. Returns how many there were.
  std::size_t ReleaseHeldCommits();
  // Takes one commit off the fault delay_commits and returns how long it must be
  // held; zero when none is to be held. The HTTP stand-in calls this before Commit().
  std::chrono::milliseconds TakeCommitDelay();
  // Age of the VM list that List() answers; zero at first.
  void SetVmListLag(std::chrono::milliseconds aLag);
  // Adds or replaces a VM on the list, or removes it. List() shows it after the lag.
  void SetVm(const VmListEntry& aVm);
  void RemoveVm(const std::string& aName);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
