#pragma once

#include "plantainhaven/platform/platform.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace plantainhaven {

struct HttpPlatformOptions
{
  std::string address;
  std::uint16_t port = 0;
  std::chrono::milliseconds timeout{ 2000 };
};

// The platform's three services over HTTP. Connections are kept in a small pool, so
// that several threads may call at once.
class HttpPlatform
  : public TableStore
  , public ObjectStore
  , public VmList
{
public:
  explicit HttpPlatform(HttpPlatformOptions aOptions);
  ~HttpPlatform() override;

  Result<TableCommitAnswer> Commit(const TableTransaction& aTransaction) override;
  Result<TableRow> Read(const std::string& aKey) override;
  Result<TableReadAnswer> ReadPrefix(const std::string& aPrefix,
                                     const std::string& aAfter,
                                     std::size_t aLimit) override;
  Result<Done> Put(const std::string& aName, const std::string& aBytes) override;
  Result<std::string> Get(const std::string& aName) override;
  Result<Done> Delete(const std::string& aName) override;
  Result<VmListAnswer> List() override;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
