#pragma once

#include "plantainhaven/platform/platform.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <thread>
#include <vector>

#include <condition_variable>
#include <mutex>

namespace plantainhaven {

// Writes what became of claims from threads of its own, so that no answer waits for the
// table. Best effort: a full queue drops, and a failed write is tried a few times only.
class ClaimNotes
{
public:
  explicit ClaimNotes(TableStore& aStore);
  // Drops what is still queued.
  ~ClaimNotes();
  ClaimNotes(const ClaimNotes&) = delete;
  ClaimNotes& operator=(const ClaimNotes&) = delete;

  // Replaces the row of an own claim. Nobody else writes it, so there is no condition.
  void Put(std::string aKey, std::string aRow);
  // Deletes the claim that the request of this id holds.
  void Remove(std::string aKey, std::string aRequestId);
  // Waits until all is written or dropped, at most `aLongest`.
  void Flush(std::chrono::milliseconds aLongest);

private:
  struct Note
  {
    std::string key;
    // The new row, empty to remove the claim.
    std::string row;
    std::string requestId;
    int tries = 0;
  };

  void Add(Note aNote);
  void Run();
  std::vector<Note> TakeBatch();
  bool Write(const std::vector<Note>& aBatch);
  bool PutRows(const std::vector<Note>& aBatch);
  bool RemoveRow(const Note& aNote);
  void Retry(std::vector<Note> aBatch);

  TableStore& store;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Note> notes;
  std::size_t writing = 0;
  bool stopping = false;
  std::vector<std::thread> threads;
};

} // namespace plantainhaven
