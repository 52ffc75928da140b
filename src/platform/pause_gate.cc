#include "platform/pause_gate.h"

namespace plantainhaven {

namespace {

constexpr std::chrono::milliseconds kHoldStep{ 50 };
constexpr std::chrono::seconds kLongestHold{ 10 };

} // namespace

PauseGate::PauseGate(std::size_t aMostHeld)
  : mostHeld(aMostHeld)
{
}

void
PauseGate::Pause(std::chrono::milliseconds aTime)
{
  if (aTime > std::chrono::milliseconds(0)) {
    this->WaitClosed(aTime);
  }
}

void
PauseGate::HoldWhile(const std::function<bool()>& aCondition)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->held >= this->mostHeld) {
      return;
    }
    ++this->held;
  }
  const auto end = std::chrono::steady_clock::now() + kLongestHold;
  bool over = false;
  while (!over) {
    over = this->WaitClosed(kHoldStep) || !aCondition() || std::chrono::steady_clock::now() >= end;
  }
  const std::lock_guard lock(this->mutex);
  --this->held;
}

void
PauseGate::Close()
{
  const std::lock_guard lock(this->mutex);
  this->closed = true;
  this->changed.notify_all();
}

bool
PauseGate::WaitClosed(std::chrono::milliseconds aTime)
{
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, aTime, [this] { return this->closed; });
}

} // namespace plantainhaven
