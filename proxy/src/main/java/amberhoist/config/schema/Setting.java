package amberhoist.config.schema;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** What the reference page and the checks know of a key or a table of the operator's file, beside its type. */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.TYPE})
public @interface Setting {
  /** What it is for, and its effect. */
  String value();

  /** The least value, written as in the file; none when empty. */
  String min() default "";

  /** The greatest value, written as in the file; none when empty. */
  String max() default "";

  /** Whether a change waits for a restart. */
  boolean restart() default false;
}
