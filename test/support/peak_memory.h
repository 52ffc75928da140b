#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <thread>

#include <unistd.h>

namespace plantainhaven {

// Size of this process in memory.
inline long
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

// Watches by how much this process grows at most from the construction on.
class PeakMemory
{
public:
  PeakMemory()
    : before(ResidentBytes())
    , thread([this] { this->Watch(); })
  {
  }
  ~PeakMemory()
  {
    this->isStopping = true;
    this->thread.join();
  }
  PeakMemory(const PeakMemory&) = delete;
  PeakMemory& operator=(const PeakMemory&) = delete;

  long Growth() const { return std::max(this->peak.load(), ResidentBytes()) - this->before; }

private:
  void Watch()
  {
    while (!this->isStopping) {
      this->peak = std::max(this->peak.load(), ResidentBytes());
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  long before;
  std::atomic<long> peak{ 0 };
  std::atomic<bool> isStopping{ false };
  std::thread thread;
};

} // namespace plantainhaven
