/** Retry budgets and exponential back-off. */
package org.carobstage.retry;
