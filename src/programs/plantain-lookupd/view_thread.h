#pragma once

#include "plantainhaven/common/metrics.h"
#include "plantainhaven/fleet/local_link.h"
#include "plantainhaven/fleet/view_follower.h"
#include "plantainhaven/policy/lookup/lookup_policy.h"
#include "programs/plantain-lookupd/published_policy.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace plantainhaven {

struct ViewThreadOptions
{
  // Endpoint of this VM's plantain-controld.
  std::string address;
  std::uint16_t port = 0;
  std::chrono::milliseconds interval{ 50 };
  LookupOptions lookup;
};

// Thread that owns plantain-lookupd's control state. Fetches configuration changes from this
// VM's plantain-controld and publishes a new policy after each response.
class ViewThread
{
public:
  ViewThread(ViewThreadOptions aOptions, PublishedPolicy& aPolicy, Metrics& aMetrics);
  // Stops the thread after waiting for the request in flight.
  ~ViewThread();
  ViewThread(const ViewThread&) = delete;
  ViewThread& operator=(const ViewThread&) = delete;

private:
  void Run();
  void Step();
  void TakeAnswer(const ViewAnswer& aAnswer);
  void NoAnswer();
  void RebuildTable();
  void Publish();
  bool StopWithin(std::chrono::milliseconds aTime);

  ViewThreadOptions options;
  PublishedPolicy& policy;
  Metrics& metrics;
  LocalClient client;
  ViewFollower follower;
  std::shared_ptr<const LookupTable> table;
  std::chrono::milliseconds askTimeout;
  bool answering = false;
  std::mutex mutex;
  std::condition_variable wakeUp;
  bool stopping = false;
  std::thread thread;
};

} // namespace plantainhaven
