import java.util.Map;

/** Waits for entries to be ready. */
final class Start {

  private static final int ATTEMPTS = 150;
  private static final long INTERVAL_MILLIS = 100;

  private Start() {}

  /** Returns whether an entry reports itself as ready within some seconds. */
  static boolean awaitReady(String readiness) throws InterruptedException {
    for (int i = 0; i < ATTEMPTS; i++) {
      Thread.sleep(INTERVAL_MILLIS);
      try (Client client = new Client(readiness)) {
        client.sendHead("GET", "/api/readiness", "x", Map.of(), 0);
        Client.Answer answer = client.readAnswer(1_000);
        if (answer != null && answer.status() == 200) {
          return true;
        }
      } catch (Exception e) {
        // Not listening yet.
      }
    }
    return false;
  }
}
