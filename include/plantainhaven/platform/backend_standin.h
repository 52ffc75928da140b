#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "backend.pb.h"

namespace plantainhaven {

struct BackendStandinOptions
{
  std::string name = "backend";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  // Requests run at once; more are shed.
  std::size_t slots = 9;
  // Threads that serve requests, more than slots; 0 takes twice the slots and 46
  // more. A request held by a fault keeps one.
  std::size_t threads = 0;
  // Time that a request holds its slot.
  std::chrono::milliseconds work{ 10 };
  // Extra time of a request right after the start, shrinking to nothing over
  // `coldStart`.
  std::chrono::milliseconds coldWork{ 0 };
  std::chrono::milliseconds coldStart{ 0 };
  // Size of an answer's body, if its content isn't longer by itself.
  std::size_t answerBytes = 512;
  // Seed of the faults that hit a share of the requests.
  std::uint64_t seed = 1;
};

// A backend server that does nothing but take time. Every method and path gets a
// BackendAnswer in JSON, padded with blanks, which echoes Plantainhaven-Request-Id
// and X-Request-Id. A request beyond the slots gets 503 with Plantainhaven-Shed:
// true, which says that it didn't run. A request with a malformed X-Request-Id gets
// 400 and doesn't run either. A request whose Plantainhaven-Deadline-Ms is shorter
// than the work runs that long and gets 504. While the server drains, answers carry
// Plantainhaven-Draining: true. Reserved paths:
//   GET /load (a BackendLoad), GET and DELETE /executions, GET and PUT /fault.
// Faults don't touch the last two.
class BackendStandin
{
public:
  explicit BackendStandin(BackendStandinOptions aOptions);
  // Stops at once if it still runs.
  ~BackendStandin();
  BackendStandin(const BackendStandin&) = delete;
  BackendStandin& operator=(const BackendStandin&) = delete;

  // Begins to serve and to warm up; fails when the address is in use.
  Result<Done> Start();
  // Reports from now on that the server drains. It goes on serving, and closes each
  // connection after its answer.
  void BeginDrain();
  // Drains, ends the waits of faults, waits up to `aLongest` for the requests in
  // flight and returns how many were cut.
  std::size_t Stop(std::chrono::milliseconds aLongest);

  // Sets the faults; a default message ends them.
  void SetFault(const BackendFault& aFault);
  BackendFault Fault() const;
  // The true load, whatever the fault makes /load report.
  BackendLoad Load() const;
  // Totals, and the ids that ran more than `aOver` times, in order of id.
  ExecutionList Executions(std::uint32_t aOver = 0) const;
  void ResetExecutions();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
