#pragma once

#include <boost/asio/io_context.hpp>

namespace plantainhaven::edge {

// An I/O context for one thread. End() destroys what is still pending, coroutines included,
// while the objects that these use still exist.
class Context : public boost::asio::io_context
{
public:
  Context()
    : boost::asio::io_context(1)
  {
  }
  // Call after run() has returned; nothing may be started afterwards.
  void End() { this->shutdown(); }
};

} // namespace plantainhaven::edge
