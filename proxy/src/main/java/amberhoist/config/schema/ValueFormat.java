package amberhoist.config.schema;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Parses and formats values in the syntax of the operator's file, where quantities carry a unit. */
public final class ValueFormat {
  private static final Pattern QUANTITY = Pattern.compile("(\\d{1,15})(us|ms|s|m|h|B|KiB|MiB|GiB)");

  private ValueFormat() {}

  /**
   * Parses a value of this type, which is an enum, String, Duration, Size, int, double or boolean.
   *
   * @throws IllegalArgumentException if the text is not such a value; the message says what was expected
   */
  public static Object parse(Class<?> type, String text) {
    if (type == String.class) {
      return text;
    }
    if (type == int.class) {
      try {
        return Integer.parseInt(text);
      } catch (NumberFormatException fault) {
        throw new IllegalArgumentException(describeExpected(type), fault);
      }
    }
    if (type == double.class) {
      try {
        double value = Double.parseDouble(text);
        if (!Double.isNaN(value) && !Double.isInfinite(value)) {
          return value;
        }
      } catch (NumberFormatException fault) {
        // reported below
      }
      throw new IllegalArgumentException(describeExpected(type));
    }
    if (type == boolean.class) {
      if (text.equals("true") || text.equals("false")) {
        return Boolean.valueOf(text);
      }
      throw new IllegalArgumentException(describeExpected(type));
    }
    if (type == Duration.class) {
      return parseDuration(text);
    }
    if (type == Size.class) {
      return parseSize(text);
    }
    for (Object constant : type.getEnumConstants()) {
      if (format(constant).equals(text)) {
        return constant;
      }
    }
    throw new IllegalArgumentException(describeExpected(type));
  }

  private static Duration parseDuration(String text) {
    Matcher matcher = QUANTITY.matcher(text);
    Duration unit = !matcher.matches() ? null : switch (matcher.group(2)) {
      case "us" -> Duration.ofNanos(1000);
      case "ms" -> Duration.ofMillis(1);
      case "s" -> Duration.ofSeconds(1);
      case "m" -> Duration.ofMinutes(1);
      case "h" -> Duration.ofHours(1);
      default -> null;
    };
    if (unit == null) {
      throw new IllegalArgumentException(describeExpected(Duration.class));
    }
    return unit.multipliedBy(Long.parseLong(matcher.group(1)));
  }

  private static Size parseSize(String text) {
    Matcher matcher = QUANTITY.matcher(text);
    long unit = !matcher.matches() ? 0 : switch (matcher.group(2)) {
      case "B" -> 1;
      case "KiB" -> 1L << 10;
      case "MiB" -> 1L << 20;
      case "GiB" -> 1L << 30;
      default -> 0;
    };
    if (unit == 0) {
      throw new IllegalArgumentException(describeExpected(Size.class));
    }
    return new Size(unit * Long.parseLong(matcher.group(1)));
  }

  /** Describes the syntax of a value of this type, for messages such as "expected a number". */
  public static String describeExpected(Class<?> type) {
    if (type == int.class) {
      return "a whole number";
    } else if (type == double.class) {
      return "a number";
    } else if (type == boolean.class) {
      return "true or false";
    } else if (type == Duration.class) {
      return "a time with its unit, such as \"250ms\" (us, ms, s, m, h)";
    } else if (type == Size.class) {
      return "a size with its unit, such as \"64KiB\" (B, KiB, MiB, GiB)";
    } else if (type == String.class) {
      return "a text";
    }
    return "one of " + Arrays.stream(type.getEnumConstants()).map(constant -> '"' + format(constant) + '"')
        .collect(Collectors.joining(", "));
  }

  /** Formats a value so that {@link #parse} reads it back; strings and enum constants are not quoted. */
  public static String format(Object value) {
    if (value instanceof Duration duration) {
      long micros = duration.toNanos() / 1000;
      if (micros % 1000 != 0) {
        return micros + "us";
      }
      return micros % 1_000_000 == 0 && micros > 0 ? micros / 1_000_000 + "s" : micros / 1000 + "ms";
    }
    if (value instanceof Double number && number == Math.rint(number) && Math.abs(number) < 1e15) {
      return Long.toString(number.longValue());
    }
    return value instanceof Enum<?> constant ? constant.name().toLowerCase(Locale.ROOT) : String.valueOf(value);
  }

  /** Returns whether TOML requires quotes around values of this type. */
  public static boolean needsQuotes(Class<?> type) {
    return type != int.class && type != double.class && type != boolean.class;
  }

  /** Formats a value or a list of values as TOML, with quotes where TOML requires them. */
  public static String toToml(Object value) {
    if (value instanceof List<?> list) {
      return list.stream().map(ValueFormat::toToml).collect(Collectors.joining(", ", "[", "]"));
    }
    boolean unquoted = value instanceof Number || value instanceof Boolean;
    return unquoted ? format(value) : '"' + format(value) + '"';
  }
}
