#include "platform/http_call.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace briarpoint {

namespace {

/// More than the headers of any answer of ours need.
constexpr ev_ssize_t MaxHeaderBytes = 16'384;

timeval toTimeval(duration Length) {
  const auto Microseconds = std::chrono::duration_cast<std::chrono::microseconds>(Length).count();
  return {Microseconds / 1'000'000, Microseconds % 1'000'000};
}

evhttp_cmd_type toCommand(http_request::method Method) {
  switch (Method) {
  case http_request::method::Get:
    return EVHTTP_REQ_GET;
  case http_request::method::Put:
    return EVHTTP_REQ_PUT;
  case http_request::method::Post:
    return EVHTTP_REQ_POST;
  }
  return EVHTTP_REQ_GET;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Text;
}

void readHeaders(evhttp_request *Request, http_answer &Answer) {
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Header = Headers->tqh_first; Header != nullptr;
       Header = Header->next.tqe_next)
    Answer.Headers[lowerCase(Header->key)] = Header->value;
}

void readBody(evhttp_request *Request, http_answer &Answer) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Request);
  Answer.Body.resize(evbuffer_get_length(Buffer));
  evbuffer_remove(Buffer, Answer.Body.data(), Answer.Body.size());
}

} // namespace

void http_call::event_deleter::operator()(event *Event) const { event_free(Event); }

http_call::http_call(event_base *Base, const http_request &Request, callback Done)
    : Done(std::move(Done)),
      Limit(evtimer_new(
          Base,
          [](evutil_socket_t, short, void *Self) {
            static_cast<http_call *>(Self)->end(http_answer::outcome::NoAnswer);
          },
          this)),
      Delivery(evtimer_new(
          Base,
          [](evutil_socket_t, short, void *Self) {
            // The callback may destroy this object, so nothing of it is used afterwards.
            const callback Done = std::move(static_cast<http_call *>(Self)->Done);
            const http_answer Answer = std::move(static_cast<http_call *>(Self)->Answer);
            static_cast<http_call *>(Self)->Connection.reset();
            Done(Answer);
          },
          this)) {
  const timeval Total = toTimeval(Request.TotalLimit);
  evtimer_add(Limit.get(), &Total);
  send(Base, Request);
}

http_call::~http_call() = default;

void http_call::send(event_base *Base, const http_request &Request) {
  const std::string Host = toString(Request.Server.Address);
  Connection.reset(evhttp_connection_base_bufferevent_new(Base, nullptr, nullptr, Host.c_str(),
                                                          Request.Server.Port));
  if (!Connection)
    throw std::runtime_error("can't create an HTTP connection");
  const timeval Idle = toTimeval(Request.IdleLimit);
  evhttp_connection_set_timeout_tv(Connection.get(), &Idle);
  evhttp_connection_set_max_headers_size(Connection.get(), MaxHeaderBytes);
  evhttp_connection_set_max_body_size(Connection.get(),
                                      static_cast<ev_ssize_t>(Request.MaxAnswerBytes));

  evhttp_request *Message =
      evhttp_request_new([](evhttp_request *Finished,
                            void *Self) { static_cast<http_call *>(Self)->finish(Finished); },
                         this);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Message);
  evhttp_add_header(Headers, "Host", toString(Request.Server).c_str());
  evhttp_add_header(Headers, "Connection", "close");
  for (const auto &[Name, Value] : Request.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Message), Request.Body.data(), Request.Body.size());
  // The connection owns the message. If it can't even start to connect it frees the message.
  if (evhttp_make_request(Connection.get(), Message, toCommand(Request.Method),
                          Request.Target.c_str()) != 0)
    end(http_answer::outcome::NotSent);
}

void http_call::finish(evhttp_request *Request) {
  if (Ended)
    return;
  if (Request == nullptr) {
    end(http_answer::outcome::NoAnswer);
    return;
  }
  // libevent hands over a request with status 0 if the connection couldn't be made, and a null
  // pointer for every failure after that.
  Answer.Status = evhttp_request_get_response_code(Request);
  if (Answer.Status == 0) {
    end(http_answer::outcome::NotSent);
    return;
  }
  readHeaders(Request, Answer);
  readBody(Request, Answer);
  end(http_answer::outcome::Answered);
}

void http_call::end(http_answer::outcome Outcome) {
  if (Ended)
    return;
  Ended = true;
  Answer.Outcome = Outcome;
  evtimer_del(Limit.get());
  event_active(Delivery.get(), EV_TIMEOUT, 0);
}

} // namespace briarpoint
