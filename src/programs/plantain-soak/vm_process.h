#pragma once

#include <cstdint>
#include <string>

#include <sys/types.h>

namespace plantainhaven::soak {

// Loopback ports of one VM.
struct VmPorts
{
  std::uint16_t callers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t lookups = 0;
  std::uint16_t peers = 0;
  std::uint16_t metrics = 0;
};

struct VmOptions
{
  std::string name;
  std::string region;
  std::string failureDomain;
  // Path of plantain-edged.
  std::string program;
  // Path of another build of it, with which every other start begins; empty for none.
  std::string otherProgram{};
  // Folder for settings and log.
  std::string folder;
  std::uint16_t store = 0;
  VmPorts ports;
};

// Runs plantain-edged as a child process. Signals are sent to that process only, by its id.
class VmProcess
{
public:
  explicit VmProcess(VmOptions aOptions);
  // Kills the process if it still runs.
  ~VmProcess();
  VmProcess(const VmProcess&) = delete;
  VmProcess& operator=(const VmProcess&) = delete;

  // Throws std::system_error when the process can't be started.
  void Start();
  void Signal(int aSignal);
  // True once the process has ended; its status is then in LastStatus().
  bool HasEnded();
  int LastStatus() const { return this->status; }
  const VmOptions& Options() const { return this->options; }

private:
  void WriteSettings() const;

  VmOptions options;
  pid_t id = 0;
  int status = 0;
  int starts = 0;
};

} // namespace plantainhaven::soak
