#pragma once

#include <boost/asio/io_context.hpp>

namespace plantainhaven::edge {

// An I/O context that one thread runs. Shutdown() destroys pending handlers and suspended
// coroutines while the objects that they refer to still exist.
class Context : public boost::asio::io_context
{
public:
  Context()
    : boost::asio::io_context(1)
  {
  }
  // Call only after run() has returned. No operation may be started on the context afterwards.
  void Shutdown() { this->shutdown(); }
};

} // namespace plantainhaven::edge
