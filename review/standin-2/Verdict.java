import java.util.concurrent.Callable;

/**
 * Ends a test with a status that a program which fails by itself doesn't have: 10 if the rule held,
 * 11 if it was broken, 12 if the case could not run.
 */
final class Verdict {

  private static final int BASE = 10;
  private static final int COULD_NOT_RUN = 2;

  private Verdict() {}

  /** Runs a test, which returns 0, 1 or 2, and ends the process. */
  static void exit(Callable<Integer> test) {
    int verdict = COULD_NOT_RUN;
    try {
      verdict = test.call();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(BASE + verdict);
  }
}
