#include "net/handshake_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace chervilpulley::net {

namespace {

constexpr std::uint32_t kTcpFlagsOffset = 13;
constexpr std::uint32_t kTcpSynFlag = 0x02;
constexpr std::uint32_t kWholePacket = 0xffffffff;

} // namespace

bool IgnoreNewHandshakes(int aListener)
{
  std::array<sock_filter, 4> code{ {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kTcpSynFlag, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, kWholePacket),
  } };
  const sock_fprog program{ static_cast<unsigned short>(code.size()), code.data() };
  return setsockopt(aListener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

} // namespace chervilpulley::net
