#pragma once

#include "plantainhaven/common/result.h"

#include <string>

#include "platform.pb.h"

namespace plantainhaven {

// The platform's transactional table service. Every implementation passes the same
// contract test. All methods may be called from any thread and block until an
// answer, an error or the implementation's timeout.
class TableStore
{
public:
  virtual ~TableStore() = default;

  // Commits all puts and deletes if every condition holds, else nothing and the
  // answer lists the conflicts. kUnavailable: surely not done. kUnknown: it may or
  // may not have been done; read a row of the transaction to find out.
  virtual Result<TableCommitAnswer> Commit(const TableTransaction& aTransaction) = 0;
  // One row; kNotFound when it doesn't exist.
  virtual Result<TableRow> Read(const std::string& aKey) = 0;
  // Up to `aLimit` rows whose keys begin with `aPrefix` and are greater than
  // `aAfter`, in key order.
  virtual Result<TableReadAnswer> ReadPrefix(const std::string& aPrefix,
                                             const std::string& aAfter,
                                             std::size_t aLimit) = 0;
};

// The platform's object store: immutable blobs by name.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  // Stores an object; storing the same name again replaces it.
  virtual Result<Done> Put(const std::string& aName, const std::string& aBytes) = 0;
  // kNotFound when there is no such object.
  virtual Result<std::string> Get(const std::string& aName) = 0;
  // Deletes an object; deleting a missing one succeeds.
  virtual Result<Done> Delete(const std::string& aName) = 0;
};

// The platform's list of live and leaving VMs, which lags behind the truth.
class VmList
{
public:
  virtual ~VmList() = default;

  virtual Result<VmListAnswer> List() = 0;
};

} // namespace plantainhaven
