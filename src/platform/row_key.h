#pragma once

#include "plantainhaven/common/result.h"

#include <string>
#include <string_view>

#include "platform.pb.h"

namespace plantainhaven {

// Longest key of a row and longest name of an object, in bytes.
constexpr std::size_t kMaxKeyBytes = 1024;

// True for well-formed UTF-8 without surrogates and overlong forms.
bool
IsUtf8(std::string_view aText) noexcept;

// Checks a row's key or an object's name: UTF-8, not empty, not too long. `aField`
// names it in the error.
Result<Done>
CheckKey(std::string_view aKey, const std::string& aField);

// Checks the keys of a transaction, and that it writes no key twice.
Result<Done>
CheckTransaction(const TableTransaction& aTransaction);

} // namespace plantainhaven
