// Measures the cost of the io layer for a relay on one core. Server and client
// share one loop, so each request costs one exchange and one call, and each
// token one write and one read, as when a relay forwards it.
#include <benchmark/benchmark.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "io/http_server.h"

namespace oleander::io {
namespace {

constexpr char kAddress[] = "127.11.0.3";

void RunUntil(EventLoop& loop, const std::function<bool()>& holds) {
  while (!holds()) {
    // A round runs posted callbacks before its sockets, so two are needed.
    loop.Post([&loop] { loop.Post([&loop] { loop.Stop(); }); });
    loop.Run();
  }
}

HttpCallRequest RequestTo(const HttpServer& server) {
  HttpCallRequest request;
  request.address = kAddress;
  request.port = server.port();
  request.method = "POST";
  request.body = std::string(600, 'p');
  return request;
}

// Fetches whole answers, with `range(0)` calls in progress at a time.
void WholeAnswers(benchmark::State& state) {
  EventLoop loop;
  HttpServer server(loop, {.address = kAddress}, [](const auto& exchange) {
    exchange->Respond(200, {{"content-type", "application/json"}},
                      "{\"run\":1}");
  });
  if (!server.Listen().ok()) {
    state.SkipWithError("The server can't listen.");
    return;
  }
  HttpClient client(loop, std::chrono::seconds(30));
  size_t in_progress = 0;
  size_t answered = 0;
  std::function<void()> call = [&] {
    ++in_progress;
    client.Fetch(RequestTo(server), [&](const HttpAnswer&) {
      --in_progress;
      ++answered;
    });
  };
  const auto width = static_cast<size_t>(state.range(0));
  for (auto _ : state) {
    for (size_t i = 0; i < width; ++i) {
      call();
    }
    RunUntil(loop, [&] { return in_progress == 0; });
  }
  state.SetItemsProcessed(static_cast<int64_t>(answered));
}
BENCHMARK(WholeAnswers)->Arg(1)->Arg(64);

// Writes one token to each of `range(0)` open streams per round.
void StreamedTokens(benchmark::State& state) {
  const std::string token =
      "id: 17\ndata: {\"id\":\"r-0123456789\",\"object\":"
      "\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,"
      "\"delta\":{\"content\":\" w012345\"},\"finish_reason\":null}]}\n\n";
  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> open;
  HttpServer server(loop, {.address = kAddress}, [&](auto exchange) {
    exchange->Begin(200, {{"content-type", "text/event-stream"}});
    open.push_back(std::move(exchange));
  });
  if (!server.Listen().ok()) {
    state.SkipWithError("The server can't listen.");
    return;
  }
  HttpClient client(loop, std::chrono::seconds(30));
  const auto width = static_cast<size_t>(state.range(0));
  size_t received = 0;
  std::vector<std::unique_ptr<HttpCall>> calls;
  for (size_t i = 0; i < width; ++i) {
    HttpCallCallbacks callbacks;
    callbacks.on_body = [&](std::string_view piece) {
      received += piece.size();
    };
    calls.push_back(client.Start(RequestTo(server), std::move(callbacks)));
  }
  RunUntil(loop, [&] { return open.size() == width; });
  size_t sent = 0;
  for (auto _ : state) {
    for (const auto& exchange : open) {
      exchange->Write(token);
    }
    sent += width * token.size();
    RunUntil(loop, [&] { return received == sent; });
  }
  state.SetItemsProcessed(static_cast<int64_t>(sent / token.size()));
}
BENCHMARK(StreamedTokens)->Arg(1)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace oleander::io

BENCHMARK_MAIN();
