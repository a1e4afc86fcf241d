// Tests of the HTTP server with TLS, whose files may change while it runs.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "io/http_server.h"
#include "oleander/result_code.h"
#include "support/io_fixture.h"
#include "support/tls_fixture.h"

namespace oleander::io {
namespace {

using std::chrono::milliseconds;

struct SecureServer {
  SecureServer() {
    WriteCertificate("first", certificate, key);
    BOOST_REQUIRE(http.Listen().ok());
  }

  std::unique_ptr<TlsConnection> Connect() {
    auto connection =
        std::make_unique<TlsConnection>(kTestAddress, http.port());
    BOOST_REQUIRE(RunUntil(loop, [&] { return connection->Handshake(); }));
    return connection;
  }

  bool Answers(TlsConnection& connection, const std::string& path) {
    connection.Send("GET " + path + " HTTP/1.1\r\nhost: h\r\n\r\n");
    return RunUntil(loop, [&] {
      return connection.Receive().ends_with("\r\n\r\nfor " + path);
    });
  }

  EventLoop loop;
  TemporaryFolder folder;
  std::string certificate = folder.File("certificate.pem");
  std::string key = folder.File("key.pem");
  int disconnects = 0;
  std::shared_ptr<HttpExchange> held;
  HttpServer http{loop,
                  {.address = kTestAddress,
                   .tls = TlsFiles{.certificate_file = certificate,
                                   .key_file = key,
                                   .check_period = milliseconds(5)}},
                  [this](const std::shared_ptr<HttpExchange>& exchange) {
                    if (exchange->request().path == "/hold") {
                      exchange->OnDisconnected([this] { ++disconnects; });
                      held = exchange;
                      return;
                    }
                    exchange->Respond(200, {},
                                      "for " + exchange->request().path);
                  }};
};

BOOST_AUTO_TEST_SUITE(tls)

BOOST_AUTO_TEST_CASE(carries_answers) {
  SecureServer server;
  const auto connection = server.Connect();
  BOOST_TEST(connection->PeerName() == "first");
  BOOST_TEST(server.Answers(*connection, "/1"));
  BOOST_TEST(server.Answers(*connection, "/2"));
}

BOOST_AUTO_TEST_CASE(uses_a_new_certificate_for_new_connections) {
  SecureServer server;
  const auto earlier = server.Connect();
  WriteCertificate("second", server.certificate, server.key);
  std::string name;
  for (int i = 0; i < 1000 && name != "second"; ++i) {
    RunFor(server.loop, milliseconds(5));
    name = server.Connect()->PeerName();
  }
  BOOST_TEST(name == "second");
  BOOST_TEST(server.Answers(*earlier, "/still"));
}

BOOST_AUTO_TEST_CASE(keeps_its_certificate_if_the_new_one_is_invalid) {
  SecureServer server;
  std::ofstream(server.certificate) << "no certificate";
  RunFor(server.loop, milliseconds(50));
  const auto connection = server.Connect();
  BOOST_TEST(connection->PeerName() == "first");
  BOOST_TEST(server.Answers(*connection, "/1"));
}

BOOST_AUTO_TEST_CASE(reports_that_the_caller_disconnected) {
  SecureServer server;
  auto connection = server.Connect();
  connection->Send("GET /hold HTTP/1.1\r\nhost: h\r\n\r\n");
  BOOST_REQUIRE(RunUntil(server.loop, [&] { return server.held != nullptr; }));
  connection.reset();
  BOOST_TEST(RunUntil(server.loop, [&] { return server.disconnects == 1; }));
}

BOOST_AUTO_TEST_CASE(does_not_start_without_its_files) {
  EventLoop loop;
  const TemporaryFolder folder;
  HttpServer server(
      loop,
      {.address = kTestAddress,
       .tls = TlsFiles{.certificate_file = folder.File("none.pem"),
                       .key_file = folder.File("none.pem")}},
      [](const std::shared_ptr<HttpExchange>&) {});
  const absl::Status listening = server.Listen();
  BOOST_TEST((CodeOf(listening) == ResultCode::kSettingsInvalid));
  BOOST_TEST(listening.message().find("none.pem") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(does_not_start_with_a_key_of_another_certificate) {
  EventLoop loop;
  const TemporaryFolder folder;
  WriteCertificate("a", folder.File("a.pem"), folder.File("a.key"));
  WriteCertificate("b", folder.File("b.pem"), folder.File("b.key"));
  HttpServer server(loop,
                    {.address = kTestAddress,
                     .tls = TlsFiles{.certificate_file = folder.File("a.pem"),
                                     .key_file = folder.File("b.key")}},
                    [](const std::shared_ptr<HttpExchange>&) {});
  BOOST_TEST((CodeOf(server.Listen()) == ResultCode::kSettingsInvalid));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
