#include "http/listener_filter.h"

#include <array>
#include <cstdint>

#include <linux/filter.h>
#include <sys/socket.h>

namespace plantainhaven {

namespace {

// Place of the flags in a TCP header, and the two flags that matter.
constexpr std::uint32_t kFlagsOffset = 13;
constexpr std::uint32_t kSynFlag = 0x02;
constexpr std::uint32_t kAckFlag = 0x10;
constexpr std::uint32_t kKeepAll = 0xFFFFFFFF;

} // namespace

void
IgnoreNewConnections(int aListener)
{
  std::array<sock_filter, 5> code = { {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
    BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynFlag | kAckFlag),
    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSynFlag, 1, 0),
    BPF_STMT(BPF_RET | BPF_K, kKeepAll),
    BPF_STMT(BPF_RET | BPF_K, 0),
  } };
  const sock_fprog program{ static_cast<unsigned short>(code.size()), code.data() };
  ::setsockopt(aListener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

} // namespace plantainhaven
