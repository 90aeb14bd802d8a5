#include "adapters/detail/exchange.h"

#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace limpetlink {
namespace {

// Maximum number of bytes over the limit that are read and dropped, so that the
// caller receives the rejection.
constexpr std::size_t kMaxDiscardedBytes = 16U << 20U;
constexpr std::size_t kReaderBlockBytes = 16U << 10U;
constexpr std::size_t kCompactBytes = 64U << 10U;

MHD_Result AddHeader(void* to, MHD_ValueKind /*kind*/, const char* name,
                     std::size_t name_size, const char* value,
                     std::size_t value_size) {
  auto* const headers = static_cast<Headers*>(to);
  headers->push_back(
      {std::string(name, name_size),
       value == nullptr ? std::string() : std::string(value, value_size)});
  return MHD_YES;
}

// libmicrohttpd writes these headers itself.
bool IsFramingHeader(const std::string& name) {
  for (const char* const framing :
       {"Content-Length", "Transfer-Encoding", "Connection"}) {
    if (strcasecmp(name.c_str(), framing) == 0) {
      return true;
    }
  }
  return false;
}

}  // namespace

int SocketOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

Exchange::Exchange(RequestId id, const std::string& target) : id(id) {
  const std::size_t question_mark = target.find('?');
  this->request.id = id;
  this->request.path = target.substr(0, question_mark);
  if (question_mark != std::string::npos) {
    this->request.query = target.substr(question_mark + 1);
  }
}

bool Exchange::Begin(MHD_Connection* to, const char* method) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->started) {
    return false;
  }
  this->started = true;
  this->connection = to;
  this->request.method = method;
  MHD_get_connection_values_n(to, MHD_HEADER_KIND, &AddHeader,
                              &this->request.headers);
  return true;
}

bool Exchange::AppendBody(const char* bytes, std::size_t size,
                          std::size_t limit) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->request.body_too_large &&
      this->request.body.size() + size <= limit) {
    this->request.body.append(bytes, size);
    return true;
  }
  this->request.body_too_large = true;
  this->request.body.clear();
  this->request.body.shrink_to_fit();
  this->discarded += size;
  return this->discarded <= kMaxDiscardedBytes;
}

bool Exchange::HandOver(CallerRequest* to) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->handed_over) {
    return false;
  }
  this->handed_over = true;
  this->suspended = true;
  MHD_suspend_connection(this->connection);
  *to = std::move(this->request);
  return true;
}

void Exchange::SetHead(const ReplyHead& to) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->has_head || this->ended) {
    return;
  }
  this->head = to;
  this->has_head = true;
}

bool Exchange::AppendReply(std::string bytes, std::size_t limit) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->ended || this->disconnected || this->finished) {
    return true;
  }
  if (this->Unsent() + bytes.size() > limit) {
    this->cut = true;
    // libmicrohttpd waits for a caller that does not read; shutdown ends the
    // wait at once.
    shutdown(SocketOf(this->connection), SHUT_RDWR);
    return false;
  }
  if (this->reply.empty()) {
    this->reply = std::move(bytes);
  } else {
    this->reply += bytes;
  }
  return true;
}

void Exchange::End(bool abort) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ended = true;
  this->abort_at_end = abort;
}

void Exchange::Cut() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->cut = true;
}

bool Exchange::MarkChanged() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const bool first = !this->changed;
  this->changed = true;
  return first;
}

void Exchange::Resume() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->changed = false;
  if (this->suspended && !this->finished) {
    this->suspended = false;
    MHD_resume_connection(this->connection);
  }
}

MHD_Response* Exchange::MakeResponse(int* status,
                                     MHD_ContentReaderCallback reader,
                                     void* holder,
                                     MHD_ContentReaderFreeCallback free,
                                     bool* used_reader) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->has_head || this->cut) {
    return nullptr;
  }
  const bool complete =
      this->ended && !this->abort_at_end && this->reply_offset == 0;
  MHD_Response* response = nullptr;
  if (complete) {
    response = MHD_create_response_from_buffer(
        this->reply.size(), this->reply.data(), MHD_RESPMEM_MUST_COPY);
    this->reply.clear();
  } else {
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kReaderBlockBytes, reader, holder, free);
  }
  if (response == nullptr) {
    return nullptr;
  }
  *used_reader = !complete;
  *status = this->head.status;
  for (const Header& header : this->head.headers) {
    if (!IsFramingHeader(header.name)) {
      MHD_add_response_header(response, header.name.c_str(),
                              header.value.c_str());
    }
  }
  return response;
}

bool Exchange::SuspendUnlessCut() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->cut || this->ended) {
    return true;
  }
  this->suspended = true;
  MHD_suspend_connection(this->connection);
  return false;
}

ReadResult Exchange::Read(char* to, std::size_t max, std::size_t drain_step,
                          std::size_t* copied, CallerBufferDrained* drained) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->cut) {
    return ReadResult::kCut;
  }
  *copied = std::min(max, this->Unsent());
  if (*copied == 0) {
    if (this->ended) {
      return this->abort_at_end ? ReadResult::kCut : ReadResult::kEnd;
    }
    this->suspended = true;
    MHD_suspend_connection(this->connection);
    return ReadResult::kSuspended;
  }
  std::memcpy(to, this->reply.data() + this->reply_offset, *copied);
  this->reply_offset += *copied;
  this->unreported += *copied;
  if (this->Unsent() == 0) {
    this->reply.clear();
    this->reply_offset = 0;
  } else if (this->reply_offset > kCompactBytes) {
    this->reply.erase(0, this->reply_offset);
    this->reply_offset = 0;
  }
  if (this->unreported >= drain_step && !this->ended) {
    this->unreported = 0;
    drained->id = this->id;
    drained->buffered = this->Unsent();
  }
  return ReadResult::kBytes;
}

bool Exchange::SetDisconnected() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->disconnected || this->finished || this->ended ||
      !this->handed_over) {
    return false;
  }
  this->disconnected = true;
  this->cut = true;
  return true;
}

bool Exchange::Finish() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const bool notify = this->handed_over && !this->disconnected && !this->ended;
  this->finished = true;
  this->suspended = false;
  this->reply.clear();
  this->reply_offset = 0;
  return notify;
}

bool Exchange::HandedOver() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->handed_over;
}

bool Exchange::BodyTooLarge() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->request.body_too_large;
}

}  // namespace limpetlink
