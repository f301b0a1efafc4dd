package org.cornelchute.net.platform;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.http.CheckedClientCodec;
import org.cornelchute.policy.weights.Manifest;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;

/** Client of the weights origin. Manifests are fetched by model and version, chunks by digest. */
public final class OriginClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int STATUS_OK = 200;

  private final HttpClient http;

  /** Creates a client of the origin at {@code http://host:port}. */
  public OriginClient(String baseUrl) {
    this.http =
        CheckedClientCodec.applyTo(HttpClient.create()).baseUrl(baseUrl).responseTimeout(TIMEOUT);
  }

  /** Fetches the manifest of a model version. */
  public Mono<Either<Failure, Manifest>> fetchManifest(String model, String version) {
    return get("/weights/" + model + "/" + version + "/manifest")
        .map(
            result ->
                result.flatMap(bytes -> Manifest.parse(new String(bytes, StandardCharsets.UTF_8))));
  }

  /** Fetches a chunk. The caller must verify its digest. */
  public Mono<Either<Failure, byte[]>> fetchChunk(String digest) {
    return get("/chunks/" + digest);
  }

  private Mono<Either<Failure, byte[]>> get(String uri) {
    return http.get()
        .uri(uri)
        .responseSingle(
            (response, body) ->
                readBytes(body).map(bytes -> checkStatus(response.status().code(), uri, bytes)))
        .timeout(TIMEOUT)
        .onErrorResume(
            error ->
                Mono.just(
                    Either.left(
                        Failure.unavailable(
                            "request to the weights origin failed: " + error.getMessage()))));
  }

  private static Mono<byte[]> readBytes(ByteBufMono body) {
    return body.asByteArray().defaultIfEmpty(new byte[0]);
  }

  private static Either<Failure, byte[]> checkStatus(int status, String uri, byte[] bytes) {
    return status == STATUS_OK
        ? Either.right(bytes)
        : Either.left(
            Failure.unavailable("weights origin answered status " + status + " to " + uri));
  }
}
