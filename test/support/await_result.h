#pragma once

#include "edge/net.h"
#include "plantainhaven/common/result.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace plantainhaven {

// Runs the context until the task has ended, and returns its result.
template<typename Value>
Result<Value>
AwaitResult(edge::asio::io_context& aContext, edge::Task<Result<Value>> aTask)
{
  std::optional<Result<Value>> result;
  edge::asio::co_spawn(
    aContext,
    [](edge::Task<Result<Value>> aInner, std::optional<Result<Value>>& aInto) -> edge::Task<void> {
      aInto = co_await std::move(aInner);
    }(std::move(aTask), result),
    edge::asio::detached);
  aContext.restart();
  while (!result && aContext.run_one_for(std::chrono::seconds(5)) > 0) {
  }
  REQUIRE(result);
  return *result;
}

} // namespace plantainhaven
