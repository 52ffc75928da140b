#pragma once

#include <string>
#include <variant>

namespace plantainhaven {

// Categories of errors by how a caller has to react.
enum class ErrorKind
{
  kInvalid,     // The input is wrong; the same input fails again.
  kNotFound,    // The named object doesn't exist.
  kConflict,    // A concurrent change came first; read again before a retry.
  kUnavailable, // The peer is unreachable or refuses; nothing was changed.
  kUnknown,     // It isn't known whether the operation took effect.
  kTimeout,     // No response arrived before the deadline.
  kRefused,     // Authorization failed.
  kInternal,    // A defect in this program.
};

// Returns the name of an error kind in logs, metrics and JSON, for example "conflict".
const char*
ToString(ErrorKind aKind) noexcept;

// A typed error. `message` states the expected and the actual value; `remedy` states how to
// correct the error.
struct Error
{
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;
  // Name of the invalid field or setting; empty when there is none.
  std::string field = {};
};

// Either a value or the error that prevented it.
template<typename T>
using Result = std::variant<T, Error>;

// The value of a successful call that has nothing else to return.
struct Done
{};

template<typename T>
bool
IsOk(const Result<T>& aResult)
{
  return std::holds_alternative<T>(aResult);
}

template<typename T>
const T&
ValueOf(const Result<T>& aResult)
{
  return std::get<T>(aResult);
}

template<typename T>
T&
ValueOf(Result<T>& aResult)
{
  return std::get<T>(aResult);
}

template<typename T>
const Error&
ErrorOf(const Result<T>& aResult)
{
  return std::get<Error>(aResult);
}

} // namespace plantainhaven
