#ifndef BRIARPOINT_TESTS_PLATFORM_HTTP_HARNESS_H
#define BRIARPOINT_TESTS_PLATFORM_HTTP_HARNESS_H

#include "io/outgoing_request.h"
#include "platform/http_object_store.h"
#include "standins/platform_server.h"
#include "tests/platform/object_store_harness.h"

struct event_base;

namespace briarpoint::test {

/// Runs http_object_store against the platform stand-in, both in one event loop.
class http_harness final : public object_store_harness {
public:
  explicit http_harness(const std::string &ServerToken = "", const std::string &ClientToken = "");
  ~http_harness() override;

  object_store &store() override { return *Store; }
  void step() override;
  void endWatches() override;
  void setInstances(const std::vector<instance_entry> &Entries) override;
  void destroyStore() override { Store.reset(); }

  standins::platform_server &server() { return *Server; }
  /// Destroys the stand-in. Its port refuses connections from then on.
  void stopServer() { Server.reset(); }
  /// Send a request directly to the stand-in and return status and body.
  std::pair<int, std::string> post(const std::string &Path, const std::string &Body);
  std::pair<int, std::string> fetch(const std::string &Path);

private:
  std::pair<int, std::string> call(outgoing_request Request);

  struct base_deleter {
    void operator()(event_base *Base) const;
  };
  std::unique_ptr<event_base, base_deleter> Base;
  std::unique_ptr<standins::platform_server> Server;
  endpoint Address;
  std::unique_ptr<http_object_store> Store;
};

} // namespace briarpoint::test

#endif // BRIARPOINT_TESTS_PLATFORM_HTTP_HARNESS_H
