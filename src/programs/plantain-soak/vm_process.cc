#include "vm_process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace plantainhaven::soak {

VmProcess::VmProcess(VmOptions aOptions)
  : options(std::move(aOptions))
{
}

VmProcess::~VmProcess()
{
  if (!this->HasEnded()) {
    this->Signal(SIGKILL);
    this->Signal(SIGCONT);
    ::waitpid(this->id, &this->status, 0);
  }
}

void
VmProcess::WriteSettings() const
{
  const auto at = [](std::uint16_t aPort) { return "127.0.0.1:" + std::to_string(aPort); };
  const VmPorts& ports = this->options.ports;
  std::ofstream file(this->options.folder + "/" + this->options.name + ".ini");
  file << "[log]\nlevel = info\n[vm]\nname = " << this->options.name
       << "\naddress = 127.0.0.1\nregion = " << this->options.region
       << "\nfailure_domain = " << this->options.failureDomain
       << "\n[listen]\ncallers = " << at(ports.callers) << "\nreadiness = " << at(ports.readiness)
       << "\nlookups = " << at(ports.lookups) << "\npeers = " << ports.peers
       << "\nmetrics = " << ports.metrics << "\n[store]\naddress = " << at(this->options.store)
       << "\n[places]\nfailure_domains = north-a=north,north-b=north,south-a=south,south-b=south\n"
       << "[bounds]\nvalues = contact_ms=3000,drain_ms=2000,grace_s=6,config_apply_ms=2000,"
          "retry_budget_ratio=0.2,budget_slack=60,ttl_max_s=5,max_shift=0.15\n";
}

void
VmProcess::Start()
{
  this->WriteSettings();
  const std::string settings = this->options.folder + "/" + this->options.name + ".ini";
  const std::string log = this->options.folder + "/" + this->options.name + ".log";
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const bool isOther = !this->options.otherProgram.empty() && this->starts++ % 2 == 0;
  const std::string& program = isOther ? this->options.otherProgram : this->options.program;
  std::array<std::string, 3> words{ program, "--config", settings };
  std::array<char*, 4> arguments{ words[0].data(), words[1].data(), words[2].data(), nullptr };
  const int fault =
    ::posix_spawn(&this->id, program.c_str(), &actions, nullptr, arguments.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (fault != 0) {
    this->id = 0;
    throw std::system_error(fault, std::generic_category(), program);
  }
}

void
VmProcess::Signal(int aSignal)
{
  if (this->id > 0) {
    ::kill(this->id, aSignal);
  }
}

bool
VmProcess::HasEnded()
{
  if (this->id > 0 && ::waitpid(this->id, &this->status, WNOHANG) == this->id) {
    this->id = 0;
  }
  return this->id == 0;
}

} // namespace plantainhaven::soak
