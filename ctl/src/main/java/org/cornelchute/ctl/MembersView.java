package org.cornelchute.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.frame.FrameClient;
import org.cornelchute.net.frame.MessageCodec;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Reads the view that one member process has of all, over its operator port. */
final class MembersView {

  private static final Duration PATIENCE = Duration.ofSeconds(5);

  private final String operatorUrl;
  private final HttpClient http = HttpClient.create();
  private final ObjectMapper mapper =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  MembersView(String operatorUrl) {
    this.operatorUrl = operatorUrl;
  }

  /** Lists the members that the process knows. */
  Either<Failure, List<Member>> list() {
    return get("/members")
        .flatMap(
            text -> {
              try {
                return Either.right(Arrays.asList(mapper.readValue(text, Member[].class)));
              } catch (JsonProcessingException e) {
                return Either.left(Failure.invalid(operatorUrl + " is not an operator port"));
              }
            });
  }

  /**
   * Asks each member which version of the rules is in force there.
   *
   * @return version by member id; a member that does not answer in time is left out
   */
  Map<String, Long> versions(List<Member> members) {
    Map<String, Long> versions = new ConcurrentHashMap<>();
    CountDownLatch open = new CountDownLatch(members.size());
    FrameClient client =
        new FrameClient("cornelctl", new MessageCodec(), new Versions(versions, open));
    for (Member m : members) {
      client.send(m.address(), new ControlMessage.VersionRequest());
    }
    try {
      open.await(PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    client.close();
    return versions;
  }

  /** Reads the metrics of the process. */
  Either<Failure, Map<String, Object>> metrics() {
    return get("/metrics")
        .flatMap(
            text -> {
              try {
                @SuppressWarnings("unchecked")
                Map<String, Object> all = mapper.readValue(text, TreeMap.class);
                return Either.right(all);
              } catch (JsonProcessingException e) {
                return Either.left(Failure.invalid(operatorUrl + " is not an operator port"));
              }
            });
  }

  private Either<Failure, String> get(String path) {
    return http.get()
        .uri(operatorUrl + path)
        .responseContent()
        .aggregate()
        .asString()
        .map(Either::<Failure, String>right)
        .onErrorResume(
            e ->
                Mono.just(
                    Either.left(
                        Failure.unavailable(
                            "cannot reach "
                                + operatorUrl
                                + "; give a member's operator port with --member"))))
        .block(PATIENCE);
  }

  /** Collects the members' answers. */
  private record Versions(Map<String, Long> versions, CountDownLatch open)
      implements FrameClient.Listener {

    @Override
    public void received(String address, Message message) {
      if (message instanceof ControlMessage.VersionReport r
          && versions.put(r.member(), r.version()) == null) {
        open.countDown();
      }
    }

    @Override
    public void lost(String address) {}

    @Override
    public void undelivered(String address, Message message) {
      open.countDown();
    }
  }
}
