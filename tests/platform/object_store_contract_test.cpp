#include "core/sync/memory_object_store.h"
#include "tests/platform/http_harness.h"
#include "tests/platform/object_store_harness.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace briarpoint {
namespace {

using test::object_store_harness;

class memory_harness final : public object_store_harness {
public:
  object_store &store() override { return *Store; }
  void step() override { Store->run(Now); }
  void endWatches() override {
    Store->run(Now);
    Now += std::chrono::seconds(30);
  }
  void setInstances(const std::vector<instance_entry> &Entries) override {
    Store->setInstances(Entries);
  }
  void destroyStore() override { Store.reset(); }

private:
  std::unique_ptr<memory_object_store> Store = std::make_unique<memory_object_store>();
  instant Now{};
};

struct implementation {
  const char *Name;
  test::harness_factory Make;
};

/// The contract of object_store, run against each implementation.
class any_object_store : public testing::TestWithParam<implementation> {
protected:
  std::unique_ptr<object_store_harness> Harness = GetParam().Make();
};

// Guards against a missing object that is reported as an existing one.
TEST_P(any_object_store, AMissingObjectIsNotFound) {
  EXPECT_EQ(Harness->get("config/head"), (object_result{object_status::NotFound, 0, ""}));
}

// Guards against values that are altered in transfer, for example at a zero byte or the size limit.
TEST_P(any_object_store, ValuesAreReadAsTheyWereWritten) {
  const std::string Values[] = {"", "text", std::string("\0\r\n\xff", 4),
                                std::string(MaxObjectSize, 'x')};
  object_version Version = 0;
  for (const std::string &Value : Values) {
    SCOPED_TRACE(Value.size());
    const object_result Written = Harness->put("config/part/1", Version, Value);
    ASSERT_EQ(Written.Status, object_status::Ok);
    EXPECT_GT(Written.Version, Version);
    Version = Written.Version;
    EXPECT_EQ(Harness->get("config/part/1"), (object_result{object_status::Ok, Version, Value}));
  }
}

// Guards against keys that collide because special characters aren't escaped.
TEST_P(any_object_store, KeysAreDistinct) {
  const char *Keys[] = {"a", "a/b", "a%2Fb", "a b", "a?after=1", "a&b", "a#b", "%41", "\xc3\xa4"};
  for (const char *Key : Keys)
    EXPECT_EQ(Harness->put(Key, 0, Key).Status, object_status::Ok) << Key;
  for (const char *Key : Keys)
    EXPECT_EQ(Harness->get(Key).Value, Key);
}

// Guards against a put of a value above the size limit.
TEST_P(any_object_store, AValueAboveTheLimitIsRefused) {
  EXPECT_THROW(Harness->store().put("k", 0, std::string(MaxObjectSize + 1, 'x'), {}),
               std::length_error);
}

// Guards against two concurrent writes that are both reported as successful.
TEST_P(any_object_store, APutAgainstAnotherVersionWritesNothing) {
  const object_version First = Harness->put("head", 0, "one").Version;
  const object_version Second = Harness->put("head", First, "two").Version;
  for (const object_version Expected : {object_version{0}, First, Second + 1}) {
    SCOPED_TRACE(Expected);
    EXPECT_EQ(Harness->put("head", Expected, "three"),
              (object_result{object_status::Conflict, Second, ""}));
  }
  EXPECT_EQ(Harness->put("other", 1, "three").Status, object_status::Conflict);
  EXPECT_EQ(Harness->get("head"), (object_result{object_status::Ok, Second, "two"}));
  EXPECT_EQ(Harness->get("other").Status, object_status::NotFound);
}

// Guards against two concurrent puts that both succeed or both fail.
TEST_P(any_object_store, OfTwoConcurrentPutsOneSucceeds) {
  std::optional<object_result> First;
  std::optional<object_result> Second;
  Harness->store().put("head", 0, "one", [&](const object_result &R) { First = R; });
  Harness->store().put("head", 0, "two", [&](const object_result &R) { Second = R; });
  Harness->await(First);
  Harness->await(Second);
  EXPECT_NE(First->Status == object_status::Ok, Second->Status == object_status::Ok);
  EXPECT_EQ(Harness->get("head").Value, First->Status == object_status::Ok ? "one" : "two");
}

/// A watch of "head" waits; the object has version 1 or doesn't exist.
class waiting_watch : public any_object_store {
protected:
  void start(object_version Known) {
    Harness->store().watch("head", Known, [this](const object_result &Answer) {
      EXPECT_FALSE(Result.has_value()) << "answered twice";
      Result = Answer;
    });
    // The watch must still wait after later calls have been answered.
    Harness->get("head");
    Harness->put("other", 0, "x");
    EXPECT_FALSE(Result.has_value());
  }

  std::optional<object_result> Result;
};

// Guards against a watch of a missing object that isn't answered when the object is created.
TEST_P(waiting_watch, IsAnsweredByThePutThatCreatesTheObject) {
  start(0);
  const object_version Version = Harness->put("head", 0, "one").Version;
  Harness->await(Result);
  EXPECT_EQ(*Result, (object_result{object_status::Ok, Version, "one"}));
}

// Guards against a watch that isn't answered by a change, or is answered with the old value.
TEST_P(waiting_watch, IsAnsweredByThePutThatChangesTheObject) {
  const object_version First = Harness->put("head", 0, "one").Version;
  start(First);
  const object_version Second = Harness->put("head", First, "two").Version;
  Harness->await(Result);
  EXPECT_EQ(*Result, (object_result{object_status::Ok, Second, "two"}));
}

// Guards against a watch that never ends, or is answered again after its end.
TEST_P(waiting_watch, EndsUnchangedAtItsTimeLimit) {
  const object_version Version = Harness->put("head", 0, "one").Version;
  start(Version);
  Harness->endWatches();
  Harness->await(Result);
  EXPECT_EQ(Result->Status, object_status::Unchanged);
  // It must not be answered again by a later change.
  Harness->put("head", Version, "two");
  Harness->get("head");
}

// Guards against a callback of a store that was destroyed.
TEST_P(waiting_watch, IsNotAnsweredAfterItsStoreIsDestroyed) {
  start(0);
  Harness->destroyStore();
  EXPECT_FALSE(Result.has_value());
}

// Guards against missing a change between two watches.
TEST_P(any_object_store, AWatchOfAnOlderVersionIsAnsweredImmediately) {
  const object_version Version = Harness->put("head", 0, "one").Version;
  std::optional<object_result> Result;
  Harness->store().watch("head", Version - 1, [&](const object_result &R) { Result = R; });
  Harness->await(Result);
  EXPECT_EQ(*Result, (object_result{object_status::Ok, Version, "one"}));
}

// Guards against instances that are lost or changed in the list.
TEST_P(any_object_store, InstancesAreListed) {
  EXPECT_TRUE(Harness->listInstances().second.empty());
  const std::vector<instance_entry> Entries = {{"riga-a-1", "10.0.0.1:7001", false},
                                               {"riga-b-1", "[2001:db8::1]:7001", true}};
  Harness->setInstances(Entries);
  const auto Listed = Harness->listInstances();
  EXPECT_EQ(Listed.first, object_status::Ok);
  EXPECT_EQ(Listed.second, Entries);
}

// Guards against callbacks that run while the store is in an inconsistent state.
TEST_P(any_object_store, ACallbackMayCallTheStore) {
  std::optional<object_result> Last;
  Harness->store().put("a", 0, "1", [&](const object_result &) {
    Harness->store().get("a", [&](const object_result &R) { Last = R; });
  });
  Harness->await(Last);
  EXPECT_EQ(Last->Value, "1");
}

constexpr implementation Implementations[] = {
    {"memory", [] { return std::unique_ptr<object_store_harness>(new memory_harness); }},
    {"http", [] { return std::unique_ptr<object_store_harness>(new test::http_harness); }},
};

constexpr auto NameOf = [](const auto &Info) { return std::string(Info.param.Name); };

INSTANTIATE_TEST_SUITE_P(contract, any_object_store, testing::ValuesIn(Implementations), NameOf);
INSTANTIATE_TEST_SUITE_P(contract, waiting_watch, testing::ValuesIn(Implementations), NameOf);

} // namespace
} // namespace briarpoint
