#pragma once

#include <string>
#include <variant>

namespace plantainhaven {

// What went wrong, as far as a caller's reaction depends on it.
enum class ErrorKind
{
  kInvalid,     // The input is wrong; the same input fails again.
  kNotFound,    // The thing named doesn't exist.
  kConflict,    // Somebody else changed it first; read again and decide.
  kUnavailable, // The other side can't be reached or refuses; nothing was done.
  kUnknown,     // It isn't known whether the effect took place.
  kTimeout,     // No answer came in time.
  kRefused,     // Authorisation failed.
  kInternal,    // A fault of this program.
};

// Names an error kind as logs, metrics and JSON write it, for example "conflict".
const char*
ToString(ErrorKind aKind) noexcept;

// A typed error. `message` tells expected and actual; `remedy` tells what to do.
struct Error
{
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;
  // Field or setting that was wrong; empty when none.
  std::string field = {};
};

// Either a value or the error that stands in its place.
template<typename T>
using Result = std::variant<T, Error>;

// The value of a call that returns nothing.
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
