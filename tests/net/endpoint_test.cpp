#include "net/endpoint.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

// Guards against parsing text as the wrong endpoint, for example if the port is missing or the last
// group of an IPv6 address is taken for the port.
TEST(endpoint_text, EachValidFormIsReadAndWrittenAlike) {
  for (const char *Text : {"127.0.0.1:80", "[2001:db8::1]:65535", "0.0.0.0:1"}) {
    SCOPED_TRACE(Text);
    const std::optional<endpoint> Endpoint = parseEndpoint(Text);
    ASSERT_TRUE(Endpoint.has_value());
    EXPECT_EQ(toString(*Endpoint), Text);
  }
}

// Guards against malformed text that is accepted as an endpoint.
TEST(endpoint_text, MalformedTextIsRefused) {
  for (const char *Text :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x",
        "2001:db8::1:80", "[127.0.0.1]:80", "[]:80", "host:80"}) {
    SCOPED_TRACE(Text);
    EXPECT_FALSE(parseEndpoint(Text).has_value());
  }
}

} // namespace
} // namespace briarpoint
