#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <ostream>

#include "telemetry/telemetry.h"

namespace limpetlink {

namespace log = boost::log;

class LineWriter::Impl {
 public:
  using Backend = log::sinks::text_ostream_backend;
  using Queue = log::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                               log::sinks::drop_on_overflow>;
  using Sink = log::sinks::asynchronous_sink<Backend, Queue>;

  Impl(LineWriterSettings settings, std::ostream& output)
      : settings(std::move(settings)) {
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&output, boost::null_deleter()));
    backend->auto_flush(true);
    this->sink = boost::make_shared<Sink>(backend);
    this->sink->set_formatter(log::expressions::stream
                              << log::expressions::smessage);
    log::core::get()->add_sink(this->sink);
  }

  ~Impl() {
    log::core::get()->remove_sink(this->sink);
    this->sink->stop();
    this->sink->flush();
  }

  void Write(const std::string& text) { BOOST_LOG(this->logger) << text; }

  LineWriterSettings settings;

 private:
  log::sources::logger_mt logger;
  boost::shared_ptr<Sink> sink;
};

LineWriter::LineWriter(LineWriterSettings settings, std::ostream& output)
    : impl(std::make_unique<Impl>(std::move(settings), output)) {}
LineWriter::~LineWriter() = default;

void LineWriter::Write(const LogLine& line, Instant now) {
  const LineWriterSettings& settings = this->impl->settings;
  if (line.level >= settings.level) {
    this->impl->Write(RenderLog(line, settings.host, settings.clock.At(now)));
  }
}

void LineWriter::Write(const SpanRecord& span) {
  const LineWriterSettings& settings = this->impl->settings;
  this->impl->Write(RenderSpan(span, settings.host, settings.clock));
}

}  // namespace limpetlink
