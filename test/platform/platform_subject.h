#pragma once

#include "plantainhaven/platform/http_platform.h"
#include "plantainhaven/platform/memory_platform.h"
#include "plantainhaven/platform/platform_server.h"
#include "plantainhaven/standin/free_port.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace plantainhaven {

enum class SubjectKind
{
  kMemory,
  kHttp,
};

// One implementation of the platform's interfaces, with the memory platform behind
// it where faults are set.
class PlatformSubject
{
public:
  explicit PlatformSubject(SubjectKind aKind, std::chrono::milliseconds aTimeout = kLongTimeout)
    : port(FreePort())
  {
    if (aKind == SubjectKind::kMemory) {
      return;
    }
    this->StartServer();
    this->http =
      std::make_unique<HttpPlatform>(HttpPlatformOptions{ "127.0.0.1", this->port, aTimeout });
  }

  static constexpr std::chrono::milliseconds kLongTimeout{ 10000 };

  void StartServer()
  {
    PlatformServerOptions options;
    options.port = this->port;
    this->server = std::make_unique<PlatformServer>(options, this->memory);
    REQUIRE(IsOk(this->server->Start()));
  }

  void StopServer() { this->server.reset(); }

  TableStore& Table() { return this->http ? static_cast<TableStore&>(*this->http) : this->memory; }
  ObjectStore& Objects()
  {
    return this->http ? static_cast<ObjectStore&>(*this->http) : this->memory;
  }
  VmList& Vms() { return this->http ? static_cast<VmList&>(*this->http) : this->memory; }

  MemoryPlatform memory;
  std::uint16_t port;
  std::unique_ptr<PlatformServer> server;
  std::unique_ptr<HttpPlatform> http;
};

// A transaction put together step by step.
class TransactionBuilder
{
public:
  TransactionBuilder& If(const std::string& aKey, std::uint64_t aVersion)
  {
    TableCondition* condition = this->transaction.add_conditions();
    condition->set_key(aKey);
    condition->set_version(aVersion);
    return *this;
  }
  TransactionBuilder& Put(const std::string& aKey, const std::string& aValue)
  {
    TableRow* row = this->transaction.add_puts();
    row->set_key(aKey);
    row->set_value(aValue);
    return *this;
  }
  TransactionBuilder& Delete(const std::string& aKey)
  {
    this->transaction.add_deletes(aKey);
    return *this;
  }
  operator const TableTransaction&() const { return this->transaction; }

private:
  TableTransaction transaction;
};

// Commits and returns the version that the key has then.
inline std::uint64_t
MustPut(TableStore& aTable, const std::string& aKey, const std::string& aValue)
{
  const auto committed = aTable.Commit(TransactionBuilder().Put(aKey, aValue));
  REQUIRE(IsOk(committed));
  REQUIRE(ValueOf(committed).committed());
  const auto row = aTable.Read(aKey);
  REQUIRE(IsOk(row));
  return ValueOf(row).version();
}

// The row's value, or the name of the error kind in angle brackets.
inline std::string
ValueAt(TableStore& aTable, const std::string& aKey)
{
  const auto row = aTable.Read(aKey);
  if (IsOk(row)) {
    return ValueOf(row).value();
  }
  std::string text = "<";
  text += ToString(ErrorOf(row).kind);
  text += '>';
  return text;
}

// "ok", or the name of the error kind.
template<typename T>
std::string
OutcomeOf(const Result<T>& aResult)
{
  return IsOk(aResult) ? "ok" : ToString(ErrorOf(aResult).kind);
}

} // namespace plantainhaven
