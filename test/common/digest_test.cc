#include "plantainhaven/common/digest.h"

#include <set>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

TEST_CASE("SHA-256 gives the standard's test vectors")
{
  struct Case
  {
    std::string bytes;
    const char* expected;
  };
  const Case cases[] = {
    { "", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855" },
    { "abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" },
    { "abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq",
      "248d6a61d20638b8e5c026930c3e6039a33ce45964ff2167f6ecedd419db06c1" },
    { std::string(1000000, 'a'),
      "cdc76e5c9914fb9281a1c7e284d73e67f1809a48a497200e046d39ccc7112cd0" },
  };
  for (const Case& one : cases) {
    CAPTURE(one.bytes.size());
    CHECK(Sha256Hex(one.bytes) == one.expected);
  }
}

TEST_CASE("Comparing in constant time tells equal from different")
{
  CHECK(EqualInConstantTime("", ""));
  CHECK(EqualInConstantTime("abc", "abc"));
  CHECK_FALSE(EqualInConstantTime("abc", "abd"));
  CHECK_FALSE(EqualInConstantTime("abc", "ab"));
  CHECK_FALSE(EqualInConstantTime("", "a"));
}

TEST_CASE("Random ids and keys have their length and don't repeat")
{
  constexpr std::size_t rounds = 1000;
  std::set<std::string> seen;
  for (std::size_t round = 0; round < rounds; ++round) {
    seen.insert(RandomId());
    seen.insert(RandomKey());
  }
  CHECK(seen.size() == 2 * rounds);
  CHECK(RandomId().size() == 32);
  CHECK(RandomKey().size() == 64);
  CHECK(RandomKey().find_first_not_of("0123456789abcdef") == std::string::npos);
}

} // namespace
} // namespace plantainhaven
