package org.cornelchute.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.frame.FrameClient;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.util.ResponseBodies;
import org.cornelchute.policy.forward.PlacementExplanation;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Lists the members through the operator port of one member and sends requests to members. */
final class MembersClient {

  /** Maximum size of a page of an operator port. */
  private static final long MAX_PAGE_BYTES = 16_777_216;

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;

  private final String operatorUrl;
  private final HttpClient http = HttpClient.create();
  private final ObjectMapper mapper =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  MembersClient(String operatorUrl) {
    this.operatorUrl = operatorUrl;
  }

  /** Lists the members known to the process at the operator port. */
  Either<Failure, List<Member>> listMembers() {
    return get("/members")
        .flatMap(
            text -> {
              try {
                return Either.right(Arrays.asList(mapper.readValue(text, Member[].class)));
              } catch (JsonProcessingException e) {
                return Either.left(
                    Failure.invalid(
                        operatorUrl
                            + " sent no member list; give a member's operator port with --member"));
              }
            });
  }

  /**
   * Fetches the rules version in force at each member.
   *
   * @return versions by member id, without the members that did not answer within {@link
   *     #REQUEST_TIMEOUT}
   */
  Map<String, Long> fetchRulesVersions(List<Member> members) {
    Map<String, Long> versions = new TreeMap<>();
    for (Message answer : requestAll(members, new ControlMessage.VersionRequest())) {
      if (answer instanceof ControlMessage.VersionReport report) {
        versions.put(report.member(), report.version());
      }
    }
    return versions;
  }

  /** Fetches the usage of the workspaces from all entries and sums it by workspace. */
  Map<String, WorkspaceUsage> fetchUsages(List<Member> members) {
    List<Member> entries = members.stream().filter(member -> member.role() == Role.ENTRY).toList();
    Map<String, WorkspaceUsage> sums = new TreeMap<>();
    for (Message answer : requestAll(entries, new ControlMessage.UsageRequest())) {
      if (answer instanceof ControlMessage.UsageReport report) {
        report
            .usages()
            .forEach(usage -> sums.merge(usage.workspace(), usage, WorkspaceUsage::plus));
      }
    }
    return sums;
  }

  /**
   * Asks the entry at the operator port where a call would be routed now.
   *
   * @param query encoded query of the page
   */
  Either<Failure, PlacementExplanation> explainPlacement(String query) {
    return fetch("/where?" + query).flatMap(this::parsePlacement);
  }

  private Either<Failure, PlacementExplanation> parsePlacement(Page page) {
    try {
      if (page.status() == STATUS_BAD_REQUEST) {
        JsonNode error = mapper.readTree(page.text()).path("error");
        if (error.isTextual()) {
          return Either.left(Failure.invalid(error.asText()));
        }
      } else if (page.status() == STATUS_OK) {
        PlacementExplanation explanation =
            mapper.readValue(page.text(), PlacementExplanation.class);
        if (explanation != null && explanation.services() != null) {
          return Either.right(explanation);
        }
      }
    } catch (JsonProcessingException e) {
      return Either.left(notAnEntry());
    }
    return Either.left(notAnEntry());
  }

  private Failure notAnEntry() {
    return Failure.invalid(
        operatorUrl + " explained no call; give an entry's operator port with --member");
  }

  /**
   * Sends a request to all members and collects the answers received within {@link
   * #REQUEST_TIMEOUT}.
   */
  private static Collection<Message> requestAll(List<Member> members, Message request) {
    Map<String, Message> answers = new ConcurrentHashMap<>();
    CountDownLatch outstanding = new CountDownLatch(members.size());
    FrameClient client =
        new FrameClient("cornelctl", new MessageCodec(), new AnswerCollector(answers, outstanding));
    for (Member member : members) {
      client.send(member.address(), request);
    }
    try {
      outstanding.await(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    client.close();
    return answers.values();
  }

  private Either<Failure, String> get(String path) {
    return fetch(path).map(Page::text);
  }

  private Either<Failure, Page> fetch(String path) {
    return http.get()
        .uri(operatorUrl + path)
        .response(
            (response, body) ->
                ResponseBodies.text(body, MAX_PAGE_BYTES)
                    .map(text -> new Page(response.status().code(), text)))
        .single()
        .map(Either::<Failure, Page>right)
        .timeout(REQUEST_TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))))
        .block();
  }

  private Failure toFailure(Throwable error) {
    return Failure.unavailable(
        (error instanceof TimeoutException
                ? "no answer from " + operatorUrl + " in " + REQUEST_TIMEOUT.toSeconds() + " s"
                : "cannot reach " + operatorUrl)
            + "; give a member's operator port with --member");
  }

  /** A page of an operator port. */
  private record Page(int status, String text) {}

  /** Collects the answers by address and counts down the outstanding requests. */
  private record AnswerCollector(Map<String, Message> byAddress, CountDownLatch outstanding)
      implements FrameClient.Listener {

    @Override
    public void onMessage(String address, Message message) {
      if (byAddress.put(address, message) == null) {
        outstanding.countDown();
      }
    }

    @Override
    public void onDisconnect(String address) {}

    @Override
    public void onUndelivered(String address, Message message) {
      outstanding.countDown();
    }
  }
}
