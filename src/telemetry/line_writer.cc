#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <ostream>

#include "telemetry/telemetry.h"

namespace limpetlink {

namespace log = boost::log;

namespace {

// Minimum interval between two warnings about dropped lines.
constexpr Duration kDropReportInterval = std::chrono::seconds(1);

/// @brief Overflow strategy that drops a line when the queue is full, and
/// counts it.
struct DropAndCount {
  static std::atomic<std::uint64_t>& Count() {
    static std::atomic<std::uint64_t> count{0};
    return count;
  }

  // NOLINTBEGIN(readability-identifier-naming): Boost.Log requires these names
  template <typename Lock>
  static bool on_overflow(const log::record_view& /*record*/, Lock& /*lock*/) {
    Count().fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace

class LineWriter::Impl {
 public:
  using Backend = log::sinks::text_ostream_backend;
  using Queue = log::sinks::bounded_fifo_queue<kMaxQueuedLines, DropAndCount>;
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

  /// @brief Reports how many lines were dropped since the last report.
  void ReportDrops(Instant now) {
    const bool due =
        DropAndCount::Count().load(std::memory_order_relaxed) > 0 &&
        now >= this->next_report.load(std::memory_order_relaxed);
    if (!due) {
      return;
    }
    this->next_report.store(now + kDropReportInterval,
                            std::memory_order_relaxed);
    const std::uint64_t dropped = DropAndCount::Count().exchange(0);
    const LogLine line{LogLevel::kWarning,
                       "log lines dropped",
                       {{"lines", std::to_string(dropped)}}};
    this->Write(
        RenderLog(line, this->settings.host, this->settings.clock.At(now)));
    if (DropAndCount::Count().load() > 0) {
      DropAndCount::Count().fetch_add(
          dropped);  // the report was dropped as well
    }
  }

  LineWriterSettings settings;

 private:
  std::atomic<Instant> next_report{Instant{}};
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
  this->impl->ReportDrops(now);
}

void LineWriter::Write(const SpanRecord& span) {
  const LineWriterSettings& settings = this->impl->settings;
  this->impl->Write(RenderSpan(span, settings.host, settings.clock));
}

}  // namespace limpetlink
